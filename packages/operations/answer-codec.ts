/**
 * The JSON responses of the operators' listener. The `*Answer` interfaces are the format itself: operators' tools read their
 * fields, so the fields don't follow the names in the code. The functions map a node's status to them, field by field.
 */
import type { RoleStatus, OpenIntents, RefusedActionStatus } from '#roles';
import type { Inconsistency, Evidence, DataLossStatus, PartialHighWaterMarks } from '#recovery';
import type { NodeRoleStatus, NodeDataLossStatus, ResignResult } from './messages.js';

/** The response to `GET /duties`. */
export interface RolesAnswer {
  readonly member: string;
  readonly membership: 'outside' | 'joining' | 'member' | 'stopped';
  /** Seconds since the node's replica of the state was last known to be complete; null if it never was. */
  readonly knowledgeAgeS: number | null;
  readonly duties: readonly RoleAnswer[];
}

/** One role, as the responding node knows it. */
export interface RoleAnswer {
  /** Name of the role: `lead` or `share/N`. */
  readonly duty: string;
  readonly state: 'vacant' | 'acquiring' | 'held' | 'suspected' | 'lost' | 'resigning';
  /** Member that holds the role; null if none is known. */
  readonly holder: string | null;
  readonly term: number | null;
  /** Seconds since the role entered this state, as far as the node knows. */
  readonly sinceS: number;
  /** Seconds until the lease expires by the holder's clock; null on nodes that don't hold the role. */
  readonly leaseLeftS: number | null;
  /** Null for every role but `lead`. */
  readonly openIntents: OpenIntentsAnswer | null;
  readonly lastRefused: RefusedActionAnswer | null;
}

/** Requests to the cloud that are not known to be completed: ids of scale-out requests, and hosts to delete by scale-in. */
export interface OpenIntentsAnswer {
  readonly rentals: readonly string[];
  readonly returns: readonly string[];
}

/** The last refused action of a role. */
export interface RefusedActionAnswer {
  readonly action: string;
  readonly reason: string;
  readonly term: number;
  /** Seconds since the refusal. */
  readonly ageS: number;
}

/** The response to `GET /recovery`. */
export interface RecoveryAnswer {
  readonly member: string;
  /** Null unless the operators' settings enable data-loss detection. */
  readonly loss: DataLossAnswer | null;
}

/** The state of a node's data-loss detector. */
export interface DataLossAnswer {
  readonly state: 'serving' | 'noticed' | 'frozen';
  /** Seconds since the node entered this state. */
  readonly sinceS: number;
  readonly evidence: readonly EvidenceAnswer[];
  readonly falseAlarms: number;
  readonly seen: HighWaterMarksAnswer;
}

/** One inconsistency between the state and an earlier observation, and the source of that observation. */
export interface EvidenceAnswer {
  readonly source: string;
  readonly contradiction: InconsistencyAnswer;
  readonly text: string;
}

/** An inconsistency, discriminated by its kind. */
export type InconsistencyAnswer =
  | { readonly kind: 'epoch_went_back'; readonly known: number; readonly shown: number }
  | { readonly kind: 'epoch_reused'; readonly epoch: number }
  | { readonly kind: 'token_went_back'; readonly known: number; readonly shown: number }
  | { readonly kind: 'log_went_back'; readonly log: string; readonly known: number; readonly shown: number }
  | { readonly kind: 'key_missing'; readonly key: string }
  | { readonly kind: 'key_went_back'; readonly key: string }
  | { readonly kind: 'history_forked'; readonly key: string }
  | { readonly kind: 'peer_objects'; readonly known: number }
  | { readonly kind: 'state_incomplete'; readonly reason: string };

/** The highest marks that the node, its workers and its peers have observed; a mark that none of them observed is absent. */
export interface HighWaterMarksAnswer {
  readonly epoch?: number | undefined;
  readonly token?: number | undefined;
  readonly positions?: Readonly<Record<string, number>> | undefined;
}

/** The response to `POST /duties/resign`. */
export type ResignAnswer =
  { readonly kind: 'handed_over' } | { readonly kind: 'refused'; readonly reason: string };

/** The response to a rejected request. */
export interface ErrorAnswer {
  readonly error: string;
}

/** Maps a node's role status to the response to `GET /duties`. */
export function encodeRoles(status: NodeRoleStatus): RolesAnswer {
  return {
    member: status.member,
    membership: status.membership,
    knowledgeAgeS: status.knowledgeAgeS,
    duties: status.roles.map(encodeRole),
  };
}

/** Maps a node's data-loss status to the response to `GET /recovery`. */
export function encodeRecovery(status: NodeDataLossStatus): RecoveryAnswer {
  return {
    member: status.member,
    loss: status.dataLoss === null ? null : encodeDataLossStatus(status.dataLoss),
  };
}

/** Maps the result of a hand-off to the response to `POST /duties/resign`. */
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
    lastRefused: role.lastRefused === null ? null : encodeRefusedAction(role.lastRefused),
  };
}

function encodeOpenIntents(intents: OpenIntents): OpenIntentsAnswer {
  return { rentals: intents.scaleOutRequests, returns: intents.scaleInHosts };
}

function encodeRefusedAction(refused: RefusedActionStatus): RefusedActionAnswer {
  return { action: refused.action, reason: refused.reason, term: refused.term, ageS: refused.ageS };
}

function encodeDataLossStatus(status: DataLossStatus): DataLossAnswer {
  return {
    state: status.state,
    sinceS: status.sinceS,
    evidence: status.evidence.map(encodeEvidence),
    falseAlarms: status.falseAlarms,
    seen: encodeHighWaterMarks(status.seen),
  };
}

function encodeEvidence(evidence: Evidence): EvidenceAnswer {
  return {
    source: evidence.source,
    contradiction: encodeInconsistency(evidence.inconsistency),
    text: evidence.text,
  };
}

function encodeInconsistency(inconsistency: Inconsistency): InconsistencyAnswer {
  switch (inconsistency.kind) {
    case 'revision_regressed':
      return { kind: 'epoch_went_back', known: inconsistency.observed, shown: inconsistency.shown };
    case 'revision_reused':
      return { kind: 'epoch_reused', epoch: inconsistency.revision };
    case 'fencing_token_regressed':
      return { kind: 'token_went_back', known: inconsistency.observed, shown: inconsistency.shown };
    case 'log_regressed':
      return {
        kind: 'log_went_back',
        log: inconsistency.log,
        known: inconsistency.observed,
        shown: inconsistency.shown,
      };
    case 'key_missing':
      return { kind: 'key_missing', key: inconsistency.key };
    case 'key_regressed':
      return { kind: 'key_went_back', key: inconsistency.key };
    case 'history_forked':
      return { kind: 'history_forked', key: inconsistency.key };
    case 'peer_disagrees':
      return { kind: 'peer_objects', known: inconsistency.observed };
    case 'state_incomplete':
      return { kind: 'state_incomplete', reason: inconsistency.reason };
  }
}

/** Leaves marks that were not observed undefined, so that they are absent from the JSON. */
function encodeHighWaterMarks(marks: PartialHighWaterMarks): HighWaterMarksAnswer {
  return { epoch: marks.revision, token: marks.fencingToken, positions: marks.positions };
}
