/**
 * Client of the cloud for the leader. The cloud can't refuse the requests of a leader that was replaced. So a request
 * needs a recorded and final intent in addition to a term. The intent makes the request harmless whenever it is
 * executed.
 */
import type { CloudClient, ScaleOutResult } from '#cloud';
import type { ListedMachine, MachineType } from '#wire';
import type { ScaleOutIntent, ScaleInIntent } from './scale-intents.js';
import type { RoleRegistry } from './role-registry.js';
import type { TermProof } from './term-proof.js';

/**
 * Result of a scale-out request. `superseded`: no request was sent, or the response arrived after the end of the
 * term. The next leader repeats the request.
 */
export type FencedScaleOutResult = ScaleOutResult | { kind: 'superseded' };

/** Sends requests to the cloud under a proof of the leader's term. */
export class FencedCloud {
  constructor(
    private readonly cloud: CloudClient,
    private readonly roles: RoleRegistry,
  ) {}

  /** Returns the machine types, or null on failure. Reading changes nothing, so it needs no proof. */
  listMachineTypes(): Promise<MachineType[] | null> {
    return this.cloud.listMachineTypes();
  }

  /** Returns the machines, or null on failure. Needs no proof, as {@link listMachineTypes}. */
  listMachines(): Promise<ListedMachine[] | null> {
    return this.cloud.listMachines();
  }

  /** Sends a recorded scale-out request. */
  async requestMachines(termProof: TermProof, intent: ScaleOutIntent): Promise<FencedScaleOutResult> {
    const action = `rent ${intent.request.id}`;
    if (!this.mayRequest(termProof, action)) return { kind: 'superseded' };
    const result = await this.roles.track(termProof.role, this.cloud.requestMachines(intent.request));
    return this.isTermStillCurrent(termProof, action) ? result : { kind: 'superseded' };
  }

  /**
   * Sends a recorded scale-in request. Returns true if the machines and everything on them are gone and the term hasn't
   * ended.
   */
  async deleteMachines(termProof: TermProof, intents: readonly ScaleInIntent[]): Promise<boolean> {
    const action = `return ${intents.map((intent) => intent.host).join(' ')}`;
    if (!this.mayRequest(termProof, action)) return false;
    const hosts = intents.map((intent) => intent.host);
    const areDeleted = await this.roles.track(termProof.role, this.cloud.deleteMachines(hosts));
    return areDeleted && this.isTermStillCurrent(termProof, action);
  }

  /** Returns true if the proof permits a request now. Records a refused action otherwise. */
  private mayRequest(termProof: TermProof, action: string): boolean {
    const refusalReason = this.roles.unfencedCallRefusal(termProof);
    if (refusalReason !== null) this.roles.recordRefusal(termProof, action, refusalReason);
    return refusalReason === null;
  }

  /** Returns true if the term hasn't ended. Records a refused action otherwise. */
  private isTermStillCurrent(termProof: TermProof, action: string): boolean {
    if (termProof.isCurrent()) return true;
    this.roles.recordRefusal(termProof, action, 'answered after the term');
    return false;
  }
}
