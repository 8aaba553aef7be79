/**
 * Capabilities: the data formats and job kinds that a version of this program supports. During a rolling upgrade old
 * and new versions run side by side. A format or job kind that an old version would misread is used only once every
 * node has announced the capability for it.
 */

/**
 * `gangs`: gang jobs, and their starts in the logs and in checkpoints. `handover`: resigned shards in the member
 * record, which the leader assigns to other members. `memory`: high-water marks of the state in peer messages, placed
 * after the part that older versions read.
 */
export type Capability = 'gangs' | 'handover' | 'memory';

/** The capabilities that this version announces. */
export const SUPPORTED_CAPABILITIES: readonly Capability[] = ['gangs', 'handover', 'memory'];

/** The capabilities that nodes have announced. */
export interface AnnouncedCapabilities {
  /** Keyed by living member. Capabilities that the member's current process announces. */
  readonly livingMembers: ReadonlyMap<string, { capabilities: ReadonlySet<string> }>;
  /**
   * Keyed by member. The member's last announcement. A process of a version without announcements leaves it unchanged.
   */
  readonly lastAnnounced: ReadonlyMap<string, ReadonlySet<string>>;
}

/**
 * Returns true if all these members support the capability. For a living member the announcement of its current process
 * counts, so that a member restarted with an older version counts as old. For a member that is down its last
 * announcement counts.
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
