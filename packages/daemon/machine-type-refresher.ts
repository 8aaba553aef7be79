/** Keeps the stored machine types up to date with those that the cloud offers. */
import { encodeMachineTypeRow, MACHINE_TYPE_PREFIX, type Replica } from '#cluster';
import type { FencedCloud, FencedStore, TermProof } from '#roles';
import { isTooLarge, type Write, type WriteLimits } from '#store';
import { type Clock, type MachineType, type Micros, SECOND } from '#wire';

const REFRESH_INTERVAL: Micros = 20 * SECOND;
/** Time until the next request after the cloud gave no answer. */
const RETRY_DELAY: Micros = SECOND;
/** A spot price is written again once it differs by more than this part of the stored one. */
const SPOT_PRICE_TOLERANCE = 0.05;

/** What a machine type refresher works with. */
export interface MachineTypeRefresherOptions {
  readonly clock: Clock;
  readonly store: FencedStore;
  readonly cloud: FencedCloud;
  readonly replica: Replica;
  readonly writeLimits: WriteLimits;
}

/** Lists the cloud's machine types at intervals and writes those that have changed. */
export class MachineTypeRefresher {
  private lastReadAt: Micros = -Infinity;

  constructor(private readonly options: MachineTypeRefresherOptions) {}

  /** A new leader reads the machine types at once. */
  beginTerm(): void {
    this.lastReadAt = -Infinity;
  }

  /** Reads and writes the machine types if none are known or the last read is too long ago. */
  async refreshIfDue(termProof: TermProof): Promise<void> {
    const { clock, cloud, replica } = this.options;
    const isDue = replica.machineTypes.size === 0 || clock.now() - this.lastReadAt > REFRESH_INTERVAL;
    if (!isDue) return;
    this.lastReadAt = clock.now();
    const types = await cloud.listMachineTypes();
    if (!types) this.lastReadAt = clock.now() - REFRESH_INTERVAL + RETRY_DELAY;
    // What was read under an earlier term may be older than what a successor has written.
    if (!types || !termProof.isCurrent()) return;
    const changed = types.filter((type) => isChanged(type, replica.machineTypes.get(type.name)));
    await this.write(changed, termProof);
  }

  /** Writes the machine types, in as many transactions as the write limits ask for. */
  private async write(types: readonly MachineType[], termProof: TermProof): Promise<void> {
    const { store, writeLimits } = this.options;
    const perTransaction = writeLimits.txnOps;
    for (let start = 0; start < types.length; start += perTransaction) {
      const writes: Write[] = types.slice(start, start + perTransaction).map((type) => ({
        set: MACHINE_TYPE_PREFIX + type.name,
        value: encodeMachineTypeRow(type),
      }));
      const result = await store.compareAndSwap({
        proofs: [termProof],
        action: 'write machine types',
        guards: [],
        writes,
      });
      if (isTooLarge(result)) writeLimits.shrink();
    }
  }
}

/** The type differs from the stored one by enough to be written. Spot prices change all the time. */
function isChanged(current: MachineType, stored: MachineType | undefined): boolean {
  if (!stored) return true;
  const { spotPrice, ...fixed } = current;
  const { spotPrice: storedSpotPrice, ...storedFixed } = stored;
  return (
    Math.abs(spotPrice - storedSpotPrice) > SPOT_PRICE_TOLERANCE * storedSpotPrice ||
    JSON.stringify(fixed) !== JSON.stringify(storedFixed)
  );
}
