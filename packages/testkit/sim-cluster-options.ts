/** Options and events of a simulated cluster. */
import type { Logger } from '#cluster';
import type { Settings, Tuning } from '#settings';
import type { MachineType, Micros } from '#wire';
import type { ProductionVersion } from './production-version.js';

/**
 * What has just happened: a cancellation was confirmed, a job's last task ended, the leader changed ("lead"), or the
 * owner of a machine released it ("release").
 */
export type ClusterEvent = 'confirmed' | 'last end' | 'lead' | 'release';

/** Error of a node's clocks. */
export interface ClockError {
  /** Relative error of the monotonic clock; positive if it runs fast. */
  readonly drift: number;
  /** Offset of the wall clock. */
  readonly wallClockOffset: Micros;
}

/** Options of a simulated cluster. */
export interface SimClusterOptions {
  /** Seed of all randomness. */
  readonly seed: number;
  /** Number of nodes; 3 by default. */
  readonly nodes?: number;
  readonly log?: Logger;
  /** Settings that differ from the sample settings. */
  readonly settings?: Partial<Settings>;
  /** Operator settings that differ from the defaults. */
  readonly tuning?: Partial<Tuning>;
  /** Machine types that the cloud offers; {@link SAMPLE_TYPES} by default. */
  readonly types?: readonly MachineType[];
  /** Number of machines of each machine type in each zone, for spot and on-demand machines each; 4 by default. */
  readonly capacity?: number;
  /** Most rows in one response of the state service to a list request; 1000 by default. */
  readonly pageRows?: number;
  /** Runs all nodes with the production version, and with these settings, until they are upgraded. */
  readonly production?: { readonly version: ProductionVersion; readonly settings?: Partial<Settings> };
  /** Clock errors per node, for errors beyond what the protocol allows. By default they are random and allowed. */
  readonly clockError?: (index: number) => ClockError;
  /** The cancellation deadline promised to users, if the controllers are configured with a different one. */
  readonly promisedCancellationDeadline?: Micros;
}
