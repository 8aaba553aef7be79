/**
 * The cloud, for the leader. It can't refuse a leader that was replaced, so requests need more than a term: an intent
 * that is recorded and final, which makes the request harmless whenever it is executed.
 */
import type { CloudClient, ScaleOutResult } from '#cloud';
import type { ListedMachine, MachineType } from '#wire';
import type { ScaleOutIntent, ScaleInIntent } from './scale-intents.js';
import type { RoleRegistry } from './role-registry.js';
import type { TermProof } from './term-proof.js';

/** `superseded`: no request was sent, or its answer came after the term; a successor repeats the request. */
export type FencedScaleOutResult = ScaleOutResult | { kind: 'superseded' };

/** Cloud requests under a proof of the leader's term. */
export class FencedCloud {
  constructor(
    private readonly cloud: CloudClient,
    private readonly roles: RoleRegistry,
  ) {}

  /** Reading changes nothing, so it needs no proof. */
  listMachineTypes(): Promise<MachineType[] | null> {
    return this.cloud.listMachineTypes();
  }

  /** Reads only; see {@link listMachineTypes}. */
  listMachines(): Promise<ListedMachine[] | null> {
    return this.cloud.listMachines();
  }

  /** Scales out as recorded. */
  async requestMachines(termProof: TermProof, intent: ScaleOutIntent): Promise<FencedScaleOutResult> {
    const action = `rent ${intent.request.id}`;
    if (!this.mayRequest(termProof, action)) return { kind: 'superseded' };
    const result = await this.roles.track(termProof.role, this.cloud.requestMachines(intent.request));
    return this.isStillOurs(termProof, action) ? result : { kind: 'superseded' };
  }

  /** Scales in as recorded. True: the machines and everything on them are gone, and the term goes on. */
  async deleteMachines(termProof: TermProof, intents: readonly ScaleInIntent[]): Promise<boolean> {
    const action = `return ${intents.map((intent) => intent.host).join(' ')}`;
    if (!this.mayRequest(termProof, action)) return false;
    const hosts = intents.map((intent) => intent.host);
    const isGone = await this.roles.track(termProof.role, this.cloud.deleteMachines(hosts));
    return isGone && this.isStillOurs(termProof, action);
  }

  private mayRequest(termProof: TermProof, action: string): boolean {
    const doubt = this.roles.doubtAbout(termProof);
    if (doubt !== null) this.roles.recordRefusal(termProof, action, doubt);
    return doubt === null;
  }

  private isStillOurs(termProof: TermProof, action: string): boolean {
    if (termProof.isCurrent()) return true;
    this.roles.recordRefusal(termProof, action, 'answered after the term');
    return false;
  }
}
