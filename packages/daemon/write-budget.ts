/** How many changes per second a node may write to the state service for its logs and checkpoints. */
import { LOG_RING_CAPACITY, type Replica } from '#cluster';
import type { Settings } from '#settings';
import type { StateFreshness } from './state-freshness.js';

/** Part of the state service's write rate that all logs together may use; users' jobs need the rest. */
const LOG_WRITE_FRACTION = 0.5;
/** A node may use the unused quota of other nodes up to this multiple of its own quota ... */
const MAX_LOG_WRITE_FACTOR = 2.5;
/** ... and while the writes of all nodes stay below this part of the state service's write rate. */
const BUSY_WRITE_FRACTION = 0.8;
/** Part of the state service's write rate that the leader's checkpoints may use. */
const CHECKPOINT_WRITE_FRACTION = 0.16;
/** The same while a log is nearly full, so that its records may soon have to wait for a checkpoint. */
const URGENT_CHECKPOINT_WRITE_FRACTION = 0.35;
/** Fill of the fullest log, as a part of its capacity, from which checkpoints are urgent. */
const URGENT_LOG_FILL = 0.6;

/** What a {@link WriteBudget} depends on. */
export interface WriteBudgetOptions {
  readonly settings: Settings;
  readonly replica: Replica;
  readonly freshness: StateFreshness;
}

/** Divides the state service's write rate. All rates are changes per second. */
export class WriteBudget {
  constructor(private readonly options: WriteBudgetOptions) {}

  /**
   * The rate for this node's logs: an even quota, or more while other nodes leave theirs unused, as where one team's
   * shard has hundreds of small jobs and the other shards have next to none. All changes that the watch shows count,
   * users' jobs included, so the quota is exceeded only while the state is known to be recent.
   *
   * @param ownRate - the rate at which this node writes its logs at present
   */
  logWriteRate(ownRate: number): number {
    const { replica, freshness, settings } = this.options;
    const { stateWriteRps } = settings;
    const evenQuota = replica.perMemberQuota(stateWriteRps * LOG_WRITE_FRACTION);
    if (!freshness.isFresh()) return evenQuota;
    const rateOfOthers = Math.max(0, replica.changeRate - ownRate);
    const unused = stateWriteRps * BUSY_WRITE_FRACTION - rateOfOthers;
    return Math.max(evenQuota, Math.min(MAX_LOG_WRITE_FACTOR * evenQuota, unused));
  }

  /** The rate for the leader's checkpoints, which is higher while a log is nearly full. */
  checkpointWriteRate(): number {
    const { replica, settings } = this.options;
    const isUrgent = replica.fullestLogRecords > URGENT_LOG_FILL * LOG_RING_CAPACITY;
    return settings.stateWriteRps * (isUrgent ? URGENT_CHECKPOINT_WRITE_FRACTION : CHECKPOINT_WRITE_FRACTION);
  }
}
