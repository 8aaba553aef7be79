/**
 * The cloud, for the holder of the lead. It can't refuse a replaced holder, so requests need more than a term: the
 * intent that is recorded and final, which makes the request harmless whenever it is executed.
 */
import type { CloudClient, ScaleOutResult } from '#cloud';
import type { ListedMachine, MachineType } from '#wire';
import type { ScaleOutIntent, ScaleInIntent } from './scale-intents.js';
import type { RoleRegistry } from './role-registry.js';
import type { TermProof } from './term-proof.js';

/** `superseded`: nothing was asked, or the answer came after the term; a successor asks again. */
export type FencedScaleOutResult = ScaleOutResult | { kind: 'superseded' };

export class FencedCloud {
  constructor(
    private readonly cloud: CloudClient,
    private readonly duties: RoleRegistry,
  ) {}

  /** Reading changes nothing, so it needs no proof. */
  listMachineTypes(): Promise<MachineType[] | null> {
    return this.cloud.listMachineTypes();
  }

  listMachines(): Promise<ListedMachine[] | null> {
    return this.cloud.listMachines();
  }

  async requestMachines(termProof: TermProof, intent: ScaleOutIntent): Promise<FencedScaleOutResult> {
    const action = `rent ${intent.request.id}`;
    if (!this.mayAsk(termProof, action)) return { kind: 'superseded' };
    const result = await this.duties.track(termProof.role, this.cloud.requestMachines(intent.request));
    return this.isStillOurs(termProof, action) ? result : { kind: 'superseded' };
  }

  /** True: the machines and everything on them are gone, and the term goes on. */
  async deleteMachines(termProof: TermProof, intents: readonly ScaleInIntent[]): Promise<boolean> {
    const action = `return ${intents.map((intent) => intent.host).join(' ')}`;
    if (!this.mayAsk(termProof, action)) return false;
    const hosts = intents.map((intent) => intent.host);
    const isGone = await this.duties.track(termProof.role, this.cloud.deleteMachines(hosts));
    return isGone && this.isStillOurs(termProof, action);
  }

  private mayAsk(termProof: TermProof, action: string): boolean {
    const doubt = this.duties.doubtAbout(termProof);
    if (doubt !== null) this.duties.recordRefusal(termProof, action, doubt);
    return doubt === null;
  }

  private isStillOurs(termProof: TermProof, action: string): boolean {
    if (termProof.isCurrent()) return true;
    this.duties.recordRefusal(termProof, action, 'answered after the term');
    return false;
  }
}
