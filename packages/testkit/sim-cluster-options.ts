/** Options and events of a simulated cluster. */
import type { Logger } from '#cluster';
import type { Settings, Tuning } from '#settings';
import type { MachineType, Micros } from '#wire';
import type { MachineFacts } from './invariants.js';
import type { ProductionVersion } from './production-version.js';

/**
 * An event during which tests may inject further faults: a cancellation was confirmed ("confirmed"), a job's last task
 * completed ("last end"), the leader changed ("lead"), or the shard owner of a machine released it ("release").
 */
export type ClusterEvent = 'confirmed' | 'last end' | 'lead' | 'release';

/** Error of a node's clocks. */
export interface ClockError {
  /** Relative error of the monotonic clock; positive if it runs fast. */
  readonly drift: number;
  /** Offset of the wall clock. */
  readonly wallClockOffset: Micros;
}

/** Returns how many machines of an offer the cloud has at this moment. */
export type MachineCapacity = (offer: Omit<MachineFacts, 'host'>) => number;

/** Copies of heartbeat responses, which reach their worker once more after it has carried them out. */
export interface ResponseCopies {
  /** Returns how much later than the response its copy arrives; null if there is no copy. */
  readonly drawDelay: () => Micros | null;
  /** True if a copy is carried out although the worker has sent a later heartbeat, against the protocol. */
  readonly ignoresLaterHeartbeats: boolean;
  /** Called for each start command in a copy that the worker carries out, with what it knows of the attempt then. */
  readonly onStart: (attemptState: 'running' | 'exited' | 'unknown') => void;
}

/** Options of a simulated cluster. */
export interface SimClusterOptions {
  /** Seed of all randomness. */
  readonly seed: number;
  /** Number of nodes; 3 by default. */
  readonly nodes?: number;
  /** Receives the log of all nodes; by default nothing is logged. */
  readonly log?: Logger;
  /** Settings that differ from the sample settings. */
  readonly settings?: Partial<Settings>;
  /** Operator settings that differ from the defaults. */
  readonly tuning?: Partial<Tuning>;
  /** Machine types that the cloud offers; {@link SAMPLE_TYPES} by default. */
  readonly types?: readonly MachineType[];
  /** Number of machines of each machine type in each zone, for spot and on-demand machines each; 4 by default. */
  readonly capacity?: number | MachineCapacity;
  /** True if a task that starts on the machine at this moment will fail; by default no machine is faulty. */
  readonly isFaulty?: (machine: MachineFacts) => boolean;
  /** Copies of responses to workers; by default there are none. */
  readonly responseCopies?: ResponseCopies;
  /** Maximum number of rows in one response of the state service to a list request; 1000 by default. */
  readonly pageRows?: number;
  /** Runs all nodes with the production version, and with these settings, until they are upgraded. */
  readonly production?: { readonly version: ProductionVersion; readonly settings?: Partial<Settings> };
  /** Returns the clock error of a node, to exceed what the protocol allows. By default it is random and within that. */
  readonly clockError?: (index: number) => ClockError;
  /** The cancellation deadline promised to users, if the controllers are configured with a different one. */
  readonly promisedCancellationDeadline?: Micros;
}
