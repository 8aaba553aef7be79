/** Machine types, scale-out requests and machines in the cloud's interface. */

/** A machine type that the cloud offers. */
export interface MachineType {
  readonly name: string;
  readonly cpus: number;
  readonly gpus: number;
  /** In GB. */
  readonly memGb: number;
  /** The capacity for cached images in GB. */
  readonly cacheGb: number;
  /** The nominal rate of image fetches in GB per second. Actual rates differ by up to a third. */
  readonly fetchGbPerS: number;
  /** The price per hour of an on-demand machine. */
  readonly price: number;
  /** The current price per hour of a spot machine. */
  readonly spotPrice: number;
  /** The usual time in seconds from the scale-out request until the machine is up. */
  readonly bootS: number;
  /** The zones that offer this type. */
  readonly zones: readonly string[];
}

/** A request for machines that all have the same type and zone and are all spot machines or all on demand. */
export interface ScaleOutRequest {
  /** Unique across all nodes and requests: the cloud responds to a repeated id with the same machines. */
  readonly id: string;
  readonly machineType: string;
  readonly zone: string;
  readonly spot: boolean;
  readonly count: number;
}

/** An entry of the cloud's list of machines. The list lags behind the actual state. */
export interface ListedMachine {
  readonly host: string;
  /** The address of the machine's worker, as `host:port`. */
  readonly address: string;
  readonly machineType: string;
  readonly zone: string;
  readonly spot: boolean;
  /** `failed`: the machine stopped by itself. It stays in the list until it is deleted. */
  readonly state: 'starting' | 'running' | 'failed';
  /** Seconds from the scale-out request to the time that the list describes. */
  readonly ageS: number;
}
