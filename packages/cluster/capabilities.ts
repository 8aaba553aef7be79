/**
 * What the versions of this program can read of each other's data. During an upgrade old and new versions serve side
 * by side; formats and jobs that an old one would misread come into use only once every node has announced that it
 * understands them.
 */
/**
 * `gangs`: jobs whose tasks start together, their starts in the logs and in checkpoints. `handover`: the shares that a
 * member gives up, in its record; the leader deals them to others. `memory`: peers tell each other what they
 * remember of the state, after what older versions read of a message.
 */
export type Capability = 'gangs' | 'handover' | 'memory';

/** What this version announces. */
export const OWN_CAPABILITIES: readonly Capability[] = ['gangs', 'handover', 'memory'];

export interface Announcements {
  /** By living member: what its present process announces. */
  living: ReadonlyMap<string, { capabilities: ReadonlySet<string> }>;
  /** By member: what its last process of a version that announces anything could read. */
  lasting: ReadonlyMap<string, ReadonlySet<string>>;
}

/**
 * Every one of the nodes understands it: a living one by what its present process says, so that one that came back
 * with an older version counts as old; one that is down by what it last announced.
 */
export function allSupport(
  members: readonly string[],
  { living, lasting }: Announcements,
  capability: Capability,
): boolean {
  return members.every((member) => {
    const announced = living.get(member)?.capabilities ?? lasting.get(member);
    return announced?.has(capability) === true;
  });
}
