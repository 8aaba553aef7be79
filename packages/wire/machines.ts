/** Machine types, scale-out requests and machines, as the cloud describes them. */

/** A machine type that the cloud offers. */
export interface MachineType {
  readonly name: string;
  readonly cpus: number;
  readonly gpus: number;
  /** In GB. */
  readonly memGb: number;
  /** Capacity for cached images, in GB. */
  readonly cacheGb: number;
  /** Rate at which images are fetched, in GB per second; actual rates differ by up to a third. */
  readonly fetchGbPerS: number;
  /** Per hour, for an ordinary machine. */
  readonly price: number;
  /** Present price per hour of a spot machine. */
  readonly spotPrice: number;
  /** Usual time in seconds from the request until the machine is up. */
  readonly bootS: number;
  /** The zones that have this type. */
  readonly zones: readonly string[];
}

/** A request for machines of one type, zone and kind. */
export interface ScaleOutRequest {
  /** Never used twice, not even by another node: the cloud answers a repeated request with the same machines. */
  readonly id: string;
  readonly machineType: string;
  readonly zone: string;
  readonly spot: boolean;
  readonly count: number;
}

/** A machine as the cloud lists it. The list lags behind. */
export interface ListedMachine {
  readonly host: string;
  /** Address of its worker, as `host:port`. */
  readonly address: string;
  readonly machineType: string;
  readonly zone: string;
  readonly spot: boolean;
  /** `failed`: it stopped by itself, and stays listed until it is deleted. */
  readonly state: 'starting' | 'running' | 'failed';
  /** Seconds since the scale-out request, at the time that the list describes. */
  readonly ageS: number;
}
