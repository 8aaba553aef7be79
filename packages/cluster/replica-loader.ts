/** The complete read of the live state, by which a node's copy begins and begins anew. */
import type { Ledger } from './ledger.js';
import { LIVE_PREFIX } from './keys.js';
import { buildLedger, isObsoleteChunk, type LiveRows, successorKeyOf } from './live-state.js';
import type { StateIntegrityCheck } from './state-integrity-check.js';
import type { Row } from '#store';

/** How many missing keys one read looks for. */
const MAX_KEYS_SOUGHT = 20;

/** Reads rows of the state service, page by page. */
export interface RowReader {
  list(
    prefix: string,
    after: string,
  ): Promise<{ readonly rows: Row[]; readonly more: boolean; readonly revision: number }>;
}

/** All live state as one complete read showed it. */
export interface LoadedState {
  readonly live: LiveRows;
  /** The ledger that its checkpoint and logs make. */
  readonly ledger: Ledger;
}

/** Reads all live state; whether it may be taken for the copy is for the caller to judge. */
export class ReplicaLoader {
  constructor(
    private readonly store: RowReader,
    private readonly check: StateIntegrityCheck,
  ) {}

  /** Throws IncompleteStateError if parts are missing, StoreError if the state service does not answer. */
  async load(): Promise<LoadedState> {
    const live = await this.readLiveState();
    const ledger = buildLedger(live);
    await this.seekMissingKeys(live);
    return { live, ledger };
  }

  /**
   * All live rows as of the revision `from`. Pages are read one after the other, so a later page may hold what was
   * committed after an earlier one was read. Such rows are left to the watch, which brings them in their order
   * with all that the earlier pages missed: applied here, a start could come before the completion that it relies on.
   */
  private async readLiveState(): Promise<LiveRows> {
    const rows: Row[] = [];
    let from: number | null = null;
    for (let after = ''; ;) {
      const page = await this.store.list(LIVE_PREFIX, after);
      from ??= page.revision;
      rows.push(...page.rows);
      const last = page.rows.at(-1);
      if (!page.more || !last) return { rows: rows.filter(committedBy(from)), from, to: page.revision };
      after = last.path;
    }
  }

  /** Looks for keys that had gone: there again, replaced by what follows them, or not needed any more. */
  private async seekMissingKeys(live: LiveRows): Promise<void> {
    const shown = new Set(live.rows.map(({ path }) => path));
    const missing = this.check.missingKeys();
    for (const key of missing)
      if (shown.has(key) || isObsoleteChunk(key, live)) this.check.reportFoundKey(key);
    for (const key of this.check.missingKeys().slice(0, MAX_KEYS_SOUGHT)) {
      if (await this.isStored(successorKeyOf(key) ?? key)) this.check.reportFoundKey(key);
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
