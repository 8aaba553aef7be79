/** What the cloud's list, which lags and may go back, proves of the machines that the ledger knows. */
import type { Ledger, MachineEntry } from '#cluster';
import { type FencedCloud, ScaleInIntent, type TermProof } from '#roles';
import { type Clock, type ListedMachine, type Micros, SECOND } from '#wire';

/** Time between two reads of the list. */
const LIST_INTERVAL: Micros = 4 * SECOND;
/** Beyond twice its nominal lag: how long a machine may be missing from the list before it counts as gone. */
const MISSING_MACHINE_MARGIN: Micros = 8 * SECOND;

/** Reads the list under the present term, and says of each machine whether it stopped or is gone. */
export class MachineList {
  /** By host: listed machines that stopped by themselves and are in no record. */
  readonly stoppedMachines = new Map<string, ScaleInIntent>();
  /** Since when this holder has known each machine, by its own steady clock. */
  private readonly firstSeenAt = new Map<string, Micros>();
  private listed: ReadonlyMap<string, ListedMachine> | null = null;
  /** When that list was requested. */
  private listedAt: Micros = -Infinity;
  private lastRequestedAt: Micros = -Infinity;
  private isRequesting = false;

  constructor(
    private readonly cloud: FencedCloud,
    private readonly clock: Clock,
    /** How old a list may nominally be; it may be twice that. */
    private readonly nominalLag: () => Micros,
  ) {}

  /** A new term of the leader relies on nothing that was read before it. */
  beginTerm(): void {
    this.stoppedMachines.clear();
    this.firstSeenAt.clear();
    this.listed = null;
    this.listedAt = -Infinity;
    this.lastRequestedAt = -Infinity;
  }

  /** Notes which machines the ledger knows by now. */
  trackMachines({ machines }: Ledger): void {
    const now = this.clock.now();
    for (const host of machines.keys()) if (!this.firstSeenAt.has(host)) this.firstSeenAt.set(host, now);
    if (this.firstSeenAt.size === machines.size) return;
    for (const host of this.firstSeenAt.keys()) if (!machines.has(host)) this.firstSeenAt.delete(host);
  }

  /** Reads the list if it is due; null if it isn't, or could not be read under this term. */
  async refresh(termProof: TermProof, { machines }: Ledger): Promise<ListedMachine[] | null> {
    const now = this.clock.now();
    if (this.isRequesting || now - this.lastRequestedAt < LIST_INTERVAL) return null;
    this.isRequesting = true;
    this.lastRequestedAt = now;
    const rows = await this.cloud.listMachines();
    this.isRequesting = false;
    // One that was requested under an earlier term may be older than what this term relies on.
    if (!rows || !termProof.isCurrent()) return null;
    this.listed = new Map(rows.map((row) => [row.host, row]));
    this.listedAt = now;
    for (const row of rows) {
      const intent = machines.has(row.host) ? null : ScaleInIntent.fromStoppedMachine(row);
      if (intent) this.stoppedMachines.set(row.host, intent);
    }
    return rows;
  }

  /** What the list says of a machine that is not up: it stopped by itself, or is gone. */
  missingReason({ host, status }: MachineEntry): 'failed' | 'not listed' | null {
    const row = this.listed?.get(host);
    if (row?.state === 'failed') return 'failed';
    if (status === 'up' || row || !this.listed) return null;
    // The list lags by up to twice its nominal time; a machine that it should show by now is gone.
    return this.knownTimeBeforeList(host) > this.nominalLag() * 2 + MISSING_MACHINE_MARGIN
      ? 'not listed'
      : null;
  }

  /**
   * How long this holder had known the machine for certain when it requested the list it has: by its own steady clock
   * alone, so that no disagreement of clocks makes a young machine look as if the list should show it. In an outage of
   * the cloud the list gets old, and says nothing of machines that have come since.
   */
  private knownTimeBeforeList(host: string): Micros {
    return this.listedAt - (this.firstSeenAt.get(host) ?? this.clock.now());
  }
}
