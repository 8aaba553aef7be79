/** Tracks the machines that a shard of this node is releasing to another shard or to the cloud. */
import type { LogId, RecordDraft, Replica } from '#cluster';

/** A release that has been submitted to a log. */
interface PendingRelease {
  readonly log: number;
  /** The log's position when the write ended without a known outcome; infinite while the write is in progress. */
  readonly sequence: number;
}

/**
 * Machines whose release was submitted to a log and may still be applied. Their workers get no commands meanwhile, so
 * that no command of this node can reach a worker after the first response of the machine's new owner.
 */
export class PendingReleases {
  private readonly byHost = new Map<string, PendingRelease>();

  constructor(private readonly replica: Replica) {}

  /** Records that the machine's release is about to be written to the log of this shard. */
  add(host: string, shard: number): void {
    this.byHost.set(host, { log: shard, sequence: Infinity });
  }

  /** Records that the write of these drafts has ended. Unless `isApplied`, its releases may still be applied later. */
  settle(drafts: ReadonlyMap<LogId, RecordDraft>, isApplied: boolean): void {
    for (const [log, draft] of drafts) {
      for (const [host] of draft.releases ?? []) {
        if (isApplied || log === 'lead') this.byHost.delete(host);
        else this.byHost.set(host, { log, sequence: this.replica.ledger.position(log) });
      }
    }
  }

  /** Returns true if a release of the machine may still be applied. */
  has(host: string): boolean {
    const release = this.byHost.get(host);
    if (!release) return false;
    // Another record has taken the log position of the release, so the release can no longer be applied.
    if (this.replica.ledger.position(release.log) > release.sequence) this.byHost.delete(host);
    return this.byHost.has(host);
  }
}
