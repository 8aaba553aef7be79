/**
 * The JSON that the operators' listener answers with. These interfaces are the answers themselves: tools of operators
 * read them, so their names don't follow the names in the code. A node's reports are mapped to them here, field by field.
 */
import type { RoleStatus, OpenIntents, RefusedActionStatus } from '#roles';
import type { Inconsistency, Evidence, DataLossStatus, PartialHighWaterMarks } from '#recovery';
import type { NodeRoleStatus, NodeDataLossStatus, ResignResult } from './messages.js';

/** Of `GET /duties`. */
export interface RolesAnswer {
  readonly member: string;
  readonly membership: 'outside' | 'joining' | 'member' | 'stopped';
  /** Seconds since the node's copy of the state was last known to be complete; null if it never was. */
  readonly knowledgeAgeS: number | null;
  readonly duties: readonly RoleAnswer[];
}

/** One role, as the node that answers knows it. */
export interface RoleAnswer {
  /** `lead` or `share/N`. */
  readonly duty: string;
  readonly state: 'vacant' | 'acquiring' | 'held' | 'suspected' | 'lost' | 'resigning';
  readonly holder: string | null;
  readonly term: number | null;
  /** Seconds since the node has known the role to be in this state. */
  readonly sinceS: number;
  /** Seconds that the lease has left by the holder's own clock; null on nodes that don't hold the role. */
  readonly leaseLeftS: number | null;
  /** Of the leader only. */
  readonly openIntents: OpenIntentsAnswer | null;
  readonly lastRefused: RefusalAnswer | null;
}

/** Scale-out requests, and hosts to be deleted by scale-in, that are not known to be completed. */
export interface OpenIntentsAnswer {
  readonly rentals: readonly string[];
  readonly returns: readonly string[];
}

/** The last action under a role that was refused. */
export interface RefusalAnswer {
  readonly action: string;
  readonly reason: string;
  readonly term: number;
  /** Seconds since. */
  readonly ageS: number;
}

/** Of `GET /recovery`. */
export interface RecoveryAnswer {
  readonly member: string;
  /** Null where the operators' settings don't switch detection on. */
  readonly loss: LossAnswer | null;
}

/** The state of a node's data-loss detector. */
export interface LossAnswer {
  readonly state: 'serving' | 'noticed' | 'frozen';
  /** Seconds since the node entered this state. */
  readonly sinceS: number;
  readonly evidence: readonly EvidenceAnswer[];
  readonly falseAlarms: number;
  readonly seen: SeenAnswer;
}

/** One way in which the state is inconsistent with what was observed of it, and who observed it. */
export interface EvidenceAnswer {
  readonly source: string;
  readonly contradiction: ContradictionAnswer;
  readonly text: string;
}

/** An inconsistency, discriminated by its kind. */
export type ContradictionAnswer =
  | { readonly kind: 'epoch_went_back'; readonly known: number; readonly shown: number }
  | { readonly kind: 'epoch_reused'; readonly epoch: number }
  | { readonly kind: 'token_went_back'; readonly known: number; readonly shown: number }
  | { readonly kind: 'log_went_back'; readonly log: string; readonly known: number; readonly shown: number }
  | { readonly kind: 'key_missing'; readonly key: string }
  | { readonly kind: 'key_went_back'; readonly key: string }
  | { readonly kind: 'history_forked'; readonly key: string }
  | { readonly kind: 'peer_objects'; readonly known: number }
  | { readonly kind: 'state_incomplete'; readonly reason: string };

/** The high-water marks that the node, its workers and its peers have observed; absent where none has. */
export interface SeenAnswer {
  readonly epoch?: number | undefined;
  readonly token?: number | undefined;
  readonly positions?: Readonly<Record<string, number>> | undefined;
}

/** Of `POST /duties/resign`. */
export type ResignAnswer =
  { readonly kind: 'handed_over' } | { readonly kind: 'refused'; readonly reason: string };

/** Of any request that is rejected. */
export interface ErrorAnswer {
  readonly error: string;
}

/** The answer to `GET /duties`. */
export function encodeRoles(report: NodeRoleStatus): RolesAnswer {
  return {
    member: report.member,
    membership: report.membership,
    knowledgeAgeS: report.knowledgeAgeS,
    duties: report.roles.map(encodeRole),
  };
}

/** The answer to `GET /recovery`. */
export function encodeRecovery(report: NodeDataLossStatus): RecoveryAnswer {
  return { member: report.member, loss: report.dataLoss === null ? null : encodeLoss(report.dataLoss) };
}

/** The answer to `POST /duties/resign`. */
export function encodeResignResult(result: ResignResult): ResignAnswer {
  switch (result.kind) {
    case 'handed_over':
      return { kind: 'handed_over' };
    case 'refused':
      return { kind: 'refused', reason: result.reason };
  }
}

function encodeRole(role: RoleStatus): RoleAnswer {
  return {
    duty: role.roleName,
    state: role.state,
    holder: role.holder,
    term: role.term,
    sinceS: role.sinceS,
    leaseLeftS: role.leaseLeftS,
    openIntents: role.openIntents === null ? null : encodeOpenIntents(role.openIntents),
    lastRefused: role.lastRefused === null ? null : encodeRefusal(role.lastRefused),
  };
}

function encodeOpenIntents(intents: OpenIntents): OpenIntentsAnswer {
  return { rentals: intents.scaleOutRequests, returns: intents.scaleInHosts };
}

function encodeRefusal(refusal: RefusedActionStatus): RefusalAnswer {
  return { action: refusal.action, reason: refusal.reason, term: refusal.term, ageS: refusal.ageS };
}

function encodeLoss(loss: DataLossStatus): LossAnswer {
  return {
    state: loss.state,
    sinceS: loss.sinceS,
    evidence: loss.evidence.map(encodeEvidence),
    falseAlarms: loss.falseAlarms,
    seen: encodeSeen(loss.seen),
  };
}

function encodeEvidence(evidence: Evidence): EvidenceAnswer {
  return {
    source: evidence.source,
    contradiction: encodeInconsistency(evidence.inconsistency),
    text: evidence.text,
  };
}

function encodeInconsistency(found: Inconsistency): ContradictionAnswer {
  switch (found.kind) {
    case 'revision_regressed':
      return { kind: 'epoch_went_back', known: found.known, shown: found.shown };
    case 'revision_reused':
      return { kind: 'epoch_reused', epoch: found.revision };
    case 'fencing_token_regressed':
      return { kind: 'token_went_back', known: found.known, shown: found.shown };
    case 'log_regressed':
      return { kind: 'log_went_back', log: found.log, known: found.known, shown: found.shown };
    case 'key_missing':
      return { kind: 'key_missing', key: found.key };
    case 'key_regressed':
      return { kind: 'key_went_back', key: found.key };
    case 'history_forked':
      return { kind: 'history_forked', key: found.key };
    case 'peer_disagrees':
      return { kind: 'peer_objects', known: found.known };
    case 'state_incomplete':
      return { kind: 'state_incomplete', reason: found.reason };
  }
}

/** A mark that nobody has observed is undefined, and thereby absent from the JSON. */
function encodeSeen(seen: PartialHighWaterMarks): SeenAnswer {
  return { epoch: seen.revision, token: seen.fencingToken, positions: seen.positions };
}
