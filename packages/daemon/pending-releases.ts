/** Machines that a shard of this node is releasing to another shard or to the cloud. */
import type { LogId, RecordDraft, Replica } from '#cluster';

/** A release that was sent to a log. */
interface PendingRelease {
  readonly log: number;
  /** The log's position when the release was sent; infinite while its write is under way. */
  readonly sequence: number;
}

/**
 * Machines whose release was sent to a log and may yet be applied. Their workers get no response meanwhile, so that
 * nothing this node says can reach a worker after the first response of its new owner.
 */
export class PendingReleases {
  private readonly byHost = new Map<string, PendingRelease>();

  constructor(private readonly replica: Replica) {}

  /** The machine's release is about to be written to the log of this shard. */
  add(host: string, shard: number): void {
    this.byHost.set(host, { log: shard, sequence: Infinity });
  }

  /** The write of these drafts has ended. Unless it is known to be applied, its releases may be applied late. */
  settle(drafts: ReadonlyMap<LogId, RecordDraft>, isApplied: boolean): void {
    for (const [log, draft] of drafts) {
      for (const [host] of draft.releases ?? []) {
        if (isApplied || log === 'lead') this.byHost.delete(host);
        else this.byHost.set(host, { log, sequence: this.replica.ledger.position(log) });
      }
    }
  }

  /** Whether a release of the machine may yet be applied. */
  has(host: string): boolean {
    const release = this.byHost.get(host);
    if (!release) return false;
    // Another record took the position that the release was sent for: it can't be applied any more.
    if (this.replica.ledger.position(release.log) > release.sequence) this.byHost.delete(host);
    return this.byHost.has(host);
  }
}
