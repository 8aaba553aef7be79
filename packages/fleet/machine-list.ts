/** Reads the cloud's list of machines, which lags and may go back in time, to detect stopped and missing machines. */
import type { Ledger, MachineEntry } from '#cluster';
import { type FencedCloud, ScaleInIntent, type TermProof } from '#roles';
import { type Clock, type ListedMachine, type Micros, SECOND } from '#wire';

/** Minimum time between two reads of the list. */
const LIST_INTERVAL: Micros = 4 * SECOND;
/** A machine counts as gone if it is missing from the list for this time plus twice the list's nominal lag. */
const MISSING_MACHINE_MARGIN: Micros = 8 * SECOND;

/** Reads the cloud's list under the current term, and determines which machines stopped or no longer exist. */
export class MachineList {
  /** Listed machines that stopped by themselves and are not in the ledger. Keyed by host. */
  readonly stoppedMachines = new Map<string, ScaleInIntent>();
  /** Monotonic time at which the local node first saw each machine in the ledger in this term. Keyed by host. */
  private readonly firstSeenAt = new Map<string, Micros>();
  /** Machines of the list that was read last, keyed by host; null if no list was read in this term. */
  private listed: ReadonlyMap<string, ListedMachine> | null = null;
  /** Time at which the list in `listed` was requested. */
  private listedAt: Micros = -Infinity;
  private lastRequestedAt: Micros = -Infinity;
  private isRequesting = false;

  constructor(
    private readonly cloud: FencedCloud,
    private readonly clock: Clock,
    /** Returns the nominal maximum age of the list. The actual age may be up to twice that. */
    private readonly nominalLag: () => Micros,
  ) {}

  /** Starts a new term of the leader. Everything that was read in earlier terms is discarded. */
  beginTerm(): void {
    this.stoppedMachines.clear();
    this.firstSeenAt.clear();
    this.listed = null;
    this.listedAt = -Infinity;
    this.lastRequestedAt = -Infinity;
  }

  /** Records when each machine of the ledger was first seen, and forgets machines that left the ledger. */
  trackMachines({ machines }: Ledger): void {
    const now = this.clock.now();
    for (const host of machines.keys()) if (!this.firstSeenAt.has(host)) this.firstSeenAt.set(host, now);
    if (this.firstSeenAt.size === machines.size) return;
    for (const host of this.firstSeenAt.keys()) if (!machines.has(host)) this.firstSeenAt.delete(host);
  }

  /** Reads the list if a read is due. Returns null if it isn't, or if the list could not be read in this term. */
  async refresh(termProof: TermProof, { machines }: Ledger): Promise<ListedMachine[] | null> {
    const now = this.clock.now();
    if (this.isRequesting || now - this.lastRequestedAt < LIST_INTERVAL) return null;
    this.isRequesting = true;
    this.lastRequestedAt = now;
    const rows = await this.cloud.listMachines();
    this.isRequesting = false;
    // A list requested in an earlier term may be older than the state that the current term relies on.
    if (!rows || !termProof.isCurrent()) return null;
    this.listed = new Map(rows.map((row) => [row.host, row]));
    this.listedAt = now;
    for (const row of rows) {
      const intent = machines.has(row.host) ? null : ScaleInIntent.fromStoppedMachine(row);
      if (intent) this.stoppedMachines.set(row.host, intent);
    }
    return rows;
  }

  /**
   * Returns why a machine is unusable according to the list: it stopped by itself or is gone; null if neither. A
   * machine with status `up` never counts as gone.
   */
  missingReason({ host, status }: MachineEntry): 'failed' | 'not listed' | null {
    const row = this.listed?.get(host);
    if (row?.state === 'failed') return 'failed';
    if (status === 'up' || row || !this.listed) return null;
    // The list lags by up to twice its nominal lag. A machine that a list of that age should contain no longer exists.
    return this.knownTimeBeforeList(host) > this.nominalLag() * 2 + MISSING_MACHINE_MARGIN
      ? 'not listed'
      : null;
  }

  /**
   * Returns for how long the local node had known the machine when it requested the current list. Only the node's own
   * monotonic clock is used: with clocks of different nodes, skew could make a young machine look old enough to be
   * listed. During a cloud outage the list gets old and proves nothing about machines that were added after it.
   */
  private knownTimeBeforeList(host: string): Micros {
    return this.listedAt - (this.firstSeenAt.get(host) ?? this.clock.now());
  }
}
