/** Machines as the cloud offers, rents and lists them. */

/** A machine type that the cloud offers. */
export interface MachineType {
  name: string;
  cpus: number;
  gpus: number;
  /** In GB. */
  memGb: number;
  /** Room for images, in GB. */
  cacheGb: number;
  /** Rate at which images are fetched, in GB per second; actual rates differ by up to a third. */
  fetchGbPerS: number;
  /** Per hour, for an ordinary machine. */
  price: number;
  /** Present price per hour of a spot machine. */
  spotPrice: number;
  /** Usual time in seconds from the request until the machine is up. */
  bootS: number;
  /** The zones that have this type. */
  zones: string[];
}

/** A request for machines of one type, zone and kind. */
export interface RentalRequest {
  /** Never used twice, not even by another node: the cloud answers a repetition with the same machines. */
  id: string;
  machineType: string;
  zone: string;
  spot: boolean;
  count: number;
}

/** A machine as the cloud lists it. The list lags behind. */
export interface ListedMachine {
  host: string;
  /** Address of its worker, as `host:port`. */
  address: string;
  machineType: string;
  zone: string;
  spot: boolean;
  /** `failed`: it stopped by itself, and stays listed until it is deleted. */
  state: 'starting' | 'running' | 'failed';
  /** Seconds since the rental request, at the time that the list describes. */
  ageS: number;
}
