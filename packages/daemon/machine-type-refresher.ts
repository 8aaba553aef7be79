/** Keeps the stored machine types in sync with those that the cloud offers. */
import { encodeMachineTypeRow, MACHINE_TYPE_PREFIX, type Replica } from '#cluster';
import type { FencedCloud, FencedStore, TermProof } from '#roles';
import { isTooLarge, type Write, type WriteLimits } from '#store';
import { type Clock, type MachineType, type Micros, SECOND } from '#wire';

const REFRESH_INTERVAL: Micros = 20 * SECOND;
/** Delay before the next request after the cloud did not respond. */
const RETRY_DELAY: Micros = SECOND;
/** A spot price is written again once it differs from the stored price by more than this fraction of that price. */
const SPOT_PRICE_TOLERANCE = 0.05;

/** Dependencies of {@link MachineTypeRefresher}. */
export interface MachineTypeRefresherOptions {
  readonly clock: Clock;
  readonly store: FencedStore;
  readonly cloud: FencedCloud;
  readonly replica: Replica;
  readonly writeLimits: WriteLimits;
}

/** Reads the cloud's machine types at intervals and stores those that have changed. */
export class MachineTypeRefresher {
  private lastReadAt: Micros = -Infinity;

  constructor(private readonly options: MachineTypeRefresherOptions) {}

  /** Makes the next refresh due at once, for a new leader. */
  beginTerm(): void {
    this.lastReadAt = -Infinity;
  }

  /** Refreshes the machine types if none are known or the refresh interval has passed. */
  async refreshIfDue(termProof: TermProof): Promise<void> {
    const { clock, cloud, replica } = this.options;
    const isDue = replica.machineTypes.size === 0 || clock.now() - this.lastReadAt > REFRESH_INTERVAL;
    if (!isDue) return;
    this.lastReadAt = clock.now();
    const types = await cloud.listMachineTypes();
    if (!types?.length) this.lastReadAt = clock.now() - REFRESH_INTERVAL + RETRY_DELAY;
    // If the term ended meanwhile, a later leader may have stored newer machine types than these.
    if (!types?.length || !termProof.isCurrent()) return;
    const changed = types.filter((type) => isChanged(type, replica.machineTypes.get(type.name)));
    await this.write([...changed, ...this.unlistedTypes(types)], termProof);
  }

  /** Returns the stored types that the cloud no longer lists, without zones: machines of them remain, but none is offered. */
  private unlistedTypes(listed: readonly MachineType[]): MachineType[] {
    const names = new Set(listed.map(({ name }) => name));
    return [...this.options.replica.machineTypes.values()]
      .filter(({ name, zones }) => !names.has(name) && zones.length > 0)
      .map((type) => ({ ...type, zones: [] }));
  }

  /**
   * Writes the machine types, in as many transactions as the write limits require. If it takes several, the rows tell how
   * many there are, so that no job is refused for want of a type that is not written yet.
   */
  private async write(types: readonly MachineType[], termProof: TermProof): Promise<void> {
    const { store, replica, writeLimits } = this.options;
    const typesPerTransaction = writeLimits.txnOps;
    const allNames = new Set([...replica.machineTypes.keys(), ...types.map(({ name }) => name)]);
    const rowCount = types.length > typesPerTransaction ? allNames.size : null;
    for (let start = 0; start < types.length; start += typesPerTransaction) {
      const writes: Write[] = types.slice(start, start + typesPerTransaction).map((type) => ({
        set: MACHINE_TYPE_PREFIX + type.name,
        value: encodeMachineTypeRow(type, rowCount),
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

/** True if the type has to be written. Spot prices change constantly, so small differences of these are ignored. */
function isChanged(current: MachineType, stored: MachineType | undefined): boolean {
  if (!stored) return true;
  const { spotPrice, ...fixedFields } = current;
  const { spotPrice: storedSpotPrice, ...storedFixedFields } = stored;
  return (
    Math.abs(spotPrice - storedSpotPrice) > SPOT_PRICE_TOLERANCE * storedSpotPrice ||
    JSON.stringify(fixedFields) !== JSON.stringify(storedFixedFields)
  );
}
