/** Options and events of a simulated cluster. */
import type { Logger } from '#cluster';
import type { Settings, Tuning } from '#settings';
import type { MachineType, Micros } from '#wire';
import type { ProductionVersion } from './production-version.js';

/** A cancellation was confirmed, a job's last task ended, the leader changed, an owner released a machine. */
export type ClusterEvent = 'confirmed' | 'last end' | 'lead' | 'release';

/** Error of a node's clocks. */
export interface ClockError {
  /** Part by which the monotonic clock runs fast. */
  readonly drift: number;
  /** Offset of the time of day. */
  readonly wallClockOffset: Micros;
}

/** What a test can choose about a simulated cluster. */
export interface SimClusterOptions {
  readonly seed: number;
  /** Number of nodes; 3 by default. */
  readonly nodes?: number;
  readonly log?: Logger;
  /** Settings that differ from the sample's. */
  readonly settings?: Partial<Settings>;
  /** Operators' settings that differ from the defaults. */
  readonly tuning?: Partial<Tuning>;
  readonly types?: readonly MachineType[];
  /** How many machines the cloud has of each machine type, zone and kind. */
  readonly capacity?: number;
  /** Rows that the state service puts into one answer to a list request. */
  readonly pageRows?: number;
  /** Runs nodes of the version in production until they are upgraded, with these settings beside the sample's. */
  readonly production?: { readonly version: ProductionVersion; readonly settings?: Partial<Settings> };
  /** Clock errors beyond what the protocol allows. */
  readonly clockError?: (index: number) => ClockError;
  /** The cancellation deadline that users were promised, where the controllers are configured with another. */
  readonly promisedCancellationDeadline?: Micros;
}
