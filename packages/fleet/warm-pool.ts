/**
 * Machines that are held ready for jobs whose users expect them to start sooner than a machine boots: those that ran
 * such jobs of late. They have cached their images, too.
 */
import { type Micros, SECOND } from '#wire';

/** How long a machine is held ready after it last had such a task. */
const RETENTION: Micros = 90 * SECOND;

/** The hosts of the machines in the pool. */
export class WarmPool {
  /** By host: when it last had such a task. */
  private readonly lastUsedAt = new Map<string, Micros>();

  /** Updates the pool with the hosts that run such a task now. */
  observe(hosts: Iterable<string>, now: Micros): void {
    for (const host of hosts) this.lastUsedAt.set(host, now);
    for (const [host, usedAt] of this.lastUsedAt) if (now - usedAt > RETENTION) this.lastUsedAt.delete(host);
  }

  contains(host: string): boolean {
    return this.lastUsedAt.has(host);
  }

  clear(): void {
    this.lastUsedAt.clear();
  }
}
