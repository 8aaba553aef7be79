/** Limits the rate at which a node writes its logs and checkpoints to the state service. */
import { LOG_RING_CAPACITY, type Replica } from '#cluster';
import type { Settings } from '#settings';
import type { StateFreshness } from './state-freshness.js';

/** Fraction of the state service's write rate for all logs together. Users' jobs need the rest. */
const LOG_WRITE_FRACTION = 0.5;
/** Maximum rate of a node's logs, as a multiple of its per-member quota, while other nodes leave theirs unused. */
const MAX_LOG_WRITE_FACTOR = 2.5;
/** A node exceeds its quota only while all writes stay below this fraction of the state service's write rate. */
const BUSY_WRITE_FRACTION = 0.8;
/** Fraction of the state service's write rate for the leader's checkpoints. */
const CHECKPOINT_WRITE_FRACTION = 0.16;
/** The checkpoint fraction while a log is nearly full, so that its records may soon have to wait for a checkpoint. */
const URGENT_CHECKPOINT_WRITE_FRACTION = 0.35;
/** Fill of the fullest log, as a fraction of its capacity, above which checkpoints are urgent. */
const URGENT_LOG_FILL = 0.6;

/** Dependencies of {@link WriteBudget}. */
export interface WriteBudgetOptions {
  readonly settings: Settings;
  readonly replica: Replica;
  readonly freshness: StateFreshness;
}

/** Divides the state service's write rate among logs and checkpoints. All rates are in changes per second. */
export class WriteBudget {
  constructor(private readonly options: WriteBudgetOptions) {}

  /**
   * Returns the rate for this node's logs. It is the per-member quota, which is the same for each node, or more while
   * other nodes leave theirs unused. The higher rate helps if one team's shard has hundreds of small jobs and the other
   * shards have next to none. The rate of the other nodes is derived from all changes that the watch delivers,
   * including users' jobs. The quota is therefore exceeded only while the replica is known to be recent.
   *
   * @param currentRate - the rate at which this node currently writes its logs
   */
  logWriteRate(currentRate: number): number {
    const { replica, freshness, settings } = this.options;
    const { stateWriteRps } = settings;
    const perMemberQuota = replica.perMemberQuota(stateWriteRps * LOG_WRITE_FRACTION);
    if (!freshness.isFresh()) return perMemberQuota;
    const otherNodesRate = Math.max(0, replica.changeRate - currentRate);
    const unusedRate = stateWriteRps * BUSY_WRITE_FRACTION - otherNodesRate;
    return Math.max(perMemberQuota, Math.min(MAX_LOG_WRITE_FACTOR * perMemberQuota, unusedRate));
  }

  /** Returns the rate for the leader's checkpoints, which is higher while a log is nearly full. */
  checkpointWriteRate(): number {
    const { replica, settings } = this.options;
    const isUrgent = replica.fullestLogRecords > URGENT_LOG_FILL * LOG_RING_CAPACITY;
    return settings.stateWriteRps * (isUrgent ? URGENT_CHECKPOINT_WRITE_FRACTION : CHECKPOINT_WRITE_FRACTION);
  }
}
