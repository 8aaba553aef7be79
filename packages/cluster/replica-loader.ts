/** The complete read of the live state, by which a node's replica is loaded and reloaded. */
import type { Ledger } from './ledger.js';
import { LIVE_PREFIX } from './keys.js';
import { buildLedger, isObsoleteChunk, type LiveRows, successorKeyOf } from './live-state.js';
import type { StateIntegrityCheck } from './state-integrity-check.js';
import type { Row } from '#store';

/** Maximum number of missing keys that one complete read looks up individually. */
const MAX_MISSING_KEY_LOOKUPS = 20;

/** Lists rows of the state service page by page. */
export interface RowReader {
  list(
    prefix: string,
    after: string,
  ): Promise<{ readonly rows: Row[]; readonly more: boolean; readonly revision: number }>;
}

/** The result of one complete read of the live state. */
export interface LoadedState {
  readonly live: LiveRows;
  /** The ledger built from the checkpoint and the logs among the rows. */
  readonly ledger: Ledger;
}

/** Reads all live state. The caller decides whether the replica accepts the result. */
export class ReplicaLoader {
  constructor(
    private readonly store: RowReader,
    private readonly integrityCheck: StateIntegrityCheck,
  ) {}

  /**
   * Reads all live state. Throws {@link IncompleteStateError} if parts are missing, and {@link StoreError} if the state
   * service does not answer.
   */
  async load(): Promise<LoadedState> {
    const live = await this.readLiveState();
    const ledger = buildLedger(live);
    await this.reportFoundKeys(live);
    return { live, ledger };
  }

  /**
   * Returns all live rows as of the revision of the first page. Pages are read one after the other, so a later page may
   * contain rows committed after an earlier page was read. This method drops such rows. The watch delivers them in
   * commit order, together with the commits that the earlier pages missed. If they were applied here, a start could be
   * applied before the completion that it relies on.
   */
  private async readLiveState(): Promise<LiveRows> {
    const rows: Row[] = [];
    let revision: number | null = null;
    for (let after = ''; ;) {
      const page = await this.store.list(LIVE_PREFIX, after);
      revision ??= page.revision;
      rows.push(...page.rows);
      const last = page.rows.at(-1);
      if (!page.more || !last)
        return { rows: rows.filter(committedBy(revision)), revision, lastPageRevision: page.revision };
      after = last.path;
    }
  }

  /** Reports the missing keys that are present again, replaced by their successor key, or no longer needed. */
  private async reportFoundKeys(live: LiveRows): Promise<void> {
    const liveKeys = new Set(live.rows.map(({ path }) => path));
    const missing = this.integrityCheck.missingKeys();
    for (const key of missing)
      if (liveKeys.has(key) || isObsoleteChunk(key, live)) this.integrityCheck.reportFoundKey(key);
    for (const key of this.integrityCheck.missingKeys().slice(0, MAX_MISSING_KEY_LOOKUPS)) {
      if (await this.isStored(successorKeyOf(key) ?? key)) this.integrityCheck.reportFoundKey(key);
    }
  }

  private async isStored(key: string): Promise<boolean> {
    const { rows } = await this.store.list(key, '');
    return rows.some((row) => row.path === key);
  }
}

function committedBy(revision: number): (row: Row) => boolean {
  return (row) => row.revision <= revision;
}
