/**
 * Capabilities: what the versions of this program can read of each other's data. During an upgrade old and new versions
 * run side by side; formats and jobs that an old one would misread come into use only once every node has announced
 * that it understands them.
 */

/**
 * `gangs`: gang jobs, their starts in the logs and in checkpoints. `handover`: resigned shards in the member record,
 * which the leader assigns to other members. `memory`: high-water marks of the state in peer messages, after the part
 * that older versions read.
 */
export type Capability = 'gangs' | 'handover' | 'memory';

/** The capabilities that this version announces. */
export const SUPPORTED_CAPABILITIES: readonly Capability[] = ['gangs', 'handover', 'memory'];

/** The capabilities that nodes have announced. */
export interface AnnouncedCapabilities {
  /** By living member: what its current process announces. */
  readonly livingMembers: ReadonlyMap<string, { capabilities: ReadonlySet<string> }>;
  /** By member: what its last process of a version that announces anything did announce. */
  readonly lastAnnounced: ReadonlyMap<string, ReadonlySet<string>>;
}

/**
 * Whether all these nodes have the capability: a living one by what its current process announces, so that one that came
 * back with an older version counts as old; one that is down by what it last announced.
 */
export function allSupport(
  members: readonly string[],
  { livingMembers, lastAnnounced }: AnnouncedCapabilities,
  capability: Capability,
): boolean {
  return members.every((member) => {
    const announced = livingMembers.get(member)?.capabilities ?? lastAnnounced.get(member);
    return announced?.has(capability) === true;
  });
}
