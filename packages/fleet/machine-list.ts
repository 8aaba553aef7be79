/** What the cloud's list, which lags and may go back, proves of the machines that the ledger knows. */
import type { Ledger, MachineEntry } from '#cluster';
import { type FencedCloud, ScaleInIntent, type TermProof } from '#roles';
import { type Clock, type ListedMachine, type Micros, SECOND } from '#wire';

const LIST_EVERY: Micros = 4 * SECOND;
/** Beyond twice its nominal lag: how long a machine may be missing from the list before it counts as gone. */
const LIST_PATIENCE: Micros = 8 * SECOND;

export class MachineList {
  /** Listed machines that stopped by themselves and are in no record. */
  readonly stoppedMachines = new Map<string, ScaleInIntent>();
  /** Since when this holder has known each machine, by its own steady clock. */
  private readonly knownSince = new Map<string, Micros>();
  private listed: ReadonlyMap<string, ListedMachine> | null = null;
  /** When that list was asked for. */
  private listedAt: Micros = -Infinity;
  private lastAsked: Micros = -Infinity;
  private isAsking = false;

  constructor(
    private readonly cloud: FencedCloud,
    private readonly clock: Clock,
    /** How old a list may nominally be; it may be twice that. */
    private readonly lag: () => Micros,
  ) {}

  /** A new term of the lead relies on nothing that was read before it. */
  beginTerm(): void {
    this.stoppedMachines.clear();
    this.knownSince.clear();
    this.listed = null;
    this.listedAt = -Infinity;
    this.lastAsked = -Infinity;
  }

  /** Notes which machines the ledger knows by now. */
  noteMachines({ machines: hosts }: Ledger): void {
    const now = this.clock.now();
    for (const host of hosts.keys()) if (!this.knownSince.has(host)) this.knownSince.set(host, now);
    if (this.knownSince.size === hosts.size) return;
    for (const host of this.knownSince.keys()) if (!hosts.has(host)) this.knownSince.delete(host);
  }

  /** Reads the list if it is due; null if it isn't, or could not be read under this term. */
  async refresh(termProof: TermProof, { machines: hosts }: Ledger): Promise<ListedMachine[] | null> {
    const now = this.clock.now();
    if (this.isAsking || now - this.lastAsked < LIST_EVERY) return null;
    this.isAsking = true;
    this.lastAsked = now;
    const rows = await this.cloud.listMachines();
    this.isAsking = false;
    // One that was asked for under an earlier term may be older than what this term relies on.
    if (!rows || !termProof.isCurrent()) return null;
    this.listed = new Map(rows.map((row) => [row.host, row]));
    this.listedAt = now;
    for (const row of rows) {
      const intent = hosts.has(row.host) ? null : ScaleInIntent.fromStoppedMachine(row);
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
    return this.knownBeforeList(host) > this.lag() * 2 + LIST_PATIENCE ? 'not listed' : null;
  }

  /**
   * How long this holder had known the machine for certain when it asked for the list it has: by its own steady clock
   * alone, so that no disagreement of clocks makes a young machine look as if the list should show it. In an outage of
   * the cloud the list gets old, and says nothing of machines that have come since.
   */
  private knownBeforeList(host: string): Micros {
    return this.listedAt - (this.knownSince.get(host) ?? this.clock.now());
  }
}
