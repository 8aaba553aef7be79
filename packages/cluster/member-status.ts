/** The status that a node publishes in its member record. */
import type { Logger } from './logger.js';
import type { Member, MemberLease, MemberStatus } from './members.js';
import type { Replica } from './replica.js';
import type { CommitResult } from '#store';
import { SECOND } from '#wire';

/** The member record of this very process, and the lease that it is bound to. */
export interface OwnMemberRecord {
  readonly record: Member;
  readonly lease: MemberLease;
}

/** What a {@link MemberStatusPublisher} works with. */
export interface MemberStatusPublisherOptions {
  readonly replica: Replica;
  readonly log: Logger;
  /** Null while this process has no member record. */
  readonly ownRecord: () => OwnMemberRecord | null;
  /** Replaces this member record by one with the present status, guarded by the record's revision. */
  readonly replaceRecord: (own: OwnMemberRecord) => Promise<CommitResult>;
}

/** Brings the member record of a node in line with the node's status. */
export class MemberStatusPublisher {
  private currentStatus: MemberStatus = { unreachable: [], workersUnreachable: false, resignedShards: [] };
  private isPublishing = false;

  constructor(private readonly options: MemberStatusPublisherOptions) {}

  /** The status as it should be published, which may be ahead of the member record. */
  get status(): MemberStatus {
    return this.currentStatus;
  }

  /**
   * Changes the status, and writes it unless the member record has it already or a write is under way. A write that
   * fails is not repeated here: the next call compares the status with the record again.
   */
  async publish(change: Partial<MemberStatus>): Promise<void> {
    this.currentStatus = { ...this.currentStatus, ...change };
    const { replica, log, ownRecord, replaceRecord } = this.options;
    const own = ownRecord();
    if (this.isPublishing || !own || isSameStatus(own.record, this.currentStatus)) return;
    this.isPublishing = true;
    log.info(this.currentStatus, 'member status published');
    const result = await replaceRecord(own);
    if (result.kind === 'applied') await replica.waitForRevision(result.revision, SECOND);
    this.isPublishing = false;
  }
}

function isSameStatus(a: MemberStatus, b: MemberStatus): boolean {
  return (
    a.unreachable.join() === b.unreachable.join() &&
    a.workersUnreachable === b.workersUnreachable &&
    a.resignedShards.join() === b.resignedShards.join()
  );
}
