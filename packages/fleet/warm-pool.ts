/**
 * The warm pool: machines kept ready for latency-sensitive jobs, which must start sooner than a machine can boot. It
 * consists of the machines that recently ran such jobs, and thus also have the images of these jobs cached.
 */
import { type Micros, SECOND } from '#wire';

/** How long a machine stays in the pool after it last ran a task of a latency-sensitive job. */
const RETENTION: Micros = 90 * SECOND;

/** Tracks which machines are in the warm pool. */
export class WarmPool {
  /** Monotonic time at which the machine last ran a task of a latency-sensitive job. Keyed by host. */
  private readonly lastUsedAt = new Map<string, Micros>();

  /** Adds the hosts that now run tasks of latency-sensitive jobs, and drops machines that ran none for too long. */
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
