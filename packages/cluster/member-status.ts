/** The status that a node publishes in its member record. */
import type { Logger } from './logger.js';
import type { Member, MemberLease, MemberStatus } from './members.js';
import type { Replica } from './replica.js';
import type { CommitResult } from '#store';
import { SECOND } from '#wire';

/** The member record of this process and the lease that it is bound to. */
export interface OwnMemberRecord {
  readonly record: Member;
  readonly lease: MemberLease;
}

/** Dependencies of {@link MemberStatusPublisher}. */
export interface MemberStatusPublisherOptions {
  readonly replica: Replica;
  readonly log: Logger;
  /** Returns the member record of this process, or null while there is none. */
  readonly ownRecord: () => OwnMemberRecord | null;
  /** Replaces this member record by one with the current status, guarded by the record's revision. */
  readonly replaceRecord: (memberRecord: OwnMemberRecord) => Promise<CommitResult>;
}

/** Keeps the status of a node, and writes it to the node's member record when the record differs. */
export class MemberStatusPublisher {
  private currentStatus: MemberStatus = { unreachable: [], workersUnreachable: false, resignedShards: [] };
  private isPublishing = false;

  constructor(private readonly options: MemberStatusPublisherOptions) {}

  /** The latest status, which the member record may not contain yet. */
  get status(): MemberStatus {
    return this.currentStatus;
  }

  /**
   * Changes the status. Then writes it to the member record, unless the record already has it or another write is in
   * progress. A failed write is not retried here: the next call compares the status with the record again.
   */
  async publish(change: Partial<MemberStatus>): Promise<void> {
    this.currentStatus = { ...this.currentStatus, ...change };
    const { replica, log, ownRecord, replaceRecord } = this.options;
    const memberRecord = ownRecord();
    if (this.isPublishing || !memberRecord || isSameStatus(memberRecord.record, this.currentStatus)) return;
    this.isPublishing = true;
    log.info(this.currentStatus, 'member status published');
    const result = await replaceRecord(memberRecord);
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
