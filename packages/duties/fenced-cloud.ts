/**
 * The cloud, for the holder of the lead. It can't refuse a replaced holder, so requests need more than a term: the
 * intent that is recorded and final, which makes the request harmless whenever it is executed.
 */
import type { CloudClient, RentResult } from '#cloud';
import type { ListedMachine, MachineType } from '#wire';
import type { RentalIntent, ReturnIntent } from './intents.js';
import type { DutyRegistry } from './registry.js';
import type { TermProof } from './term-proof.js';

/** `superseded`: nothing was asked, or the answer came after the term; a successor asks again. */
export type FencedRentResult = RentResult | { kind: 'superseded' };

export class FencedCloud {
  constructor(
    private readonly cloud: CloudClient,
    private readonly duties: DutyRegistry,
  ) {}

  /** Reading changes nothing, so it needs no proof. */
  machineTypes(): Promise<MachineType[] | null> {
    return this.cloud.machineTypes();
  }

  machines(): Promise<ListedMachine[] | null> {
    return this.cloud.machines();
  }

  async rent(proof: TermProof, intent: RentalIntent): Promise<FencedRentResult> {
    const action = `rent ${intent.request.id}`;
    if (!this.mayAsk(proof, action)) return { kind: 'superseded' };
    const result = await this.duties.track(proof.duty, this.cloud.rent(intent.request));
    return this.isStillOurs(proof, action) ? result : { kind: 'superseded' };
  }

  /** True: the machines and everything on them are gone, and the term goes on. */
  async delete(proof: TermProof, intents: readonly ReturnIntent[]): Promise<boolean> {
    const action = `return ${intents.map((intent) => intent.host).join(' ')}`;
    if (!this.mayAsk(proof, action)) return false;
    const hosts = intents.map((intent) => intent.host);
    const isGone = await this.duties.track(proof.duty, this.cloud.delete(hosts));
    return isGone && this.isStillOurs(proof, action);
  }

  private mayAsk(proof: TermProof, action: string): boolean {
    const doubt = this.duties.doubtAbout(proof);
    if (doubt !== null) this.duties.refused(proof, action, doubt);
    return doubt === null;
  }

  private isStillOurs(proof: TermProof, action: string): boolean {
    if (proof.isCurrent()) return true;
    this.duties.refused(proof, action, 'answered after the term');
    return false;
  }
}
