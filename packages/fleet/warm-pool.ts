/**
 * Machines that are held ready for jobs whose users expect them to start sooner than a machine boots: those that ran
 * such jobs of late. They have their images, too.
 */
import { type Micros, SECOND } from '#wire';

/** How long a machine is held ready after it last had such a task. */
const HELD_FOR: Micros = 90 * SECOND;

export class WarmPool {
  /** By machine: when it last had such a task. */
  private readonly lastUse = new Map<string, Micros>();

  /** Takes in which machines have a task of such a job now. */
  observe(hosts: Iterable<string>, now: Micros): void {
    for (const host of hosts) this.lastUse.set(host, now);
    for (const [host, at] of this.lastUse) if (now - at > HELD_FOR) this.lastUse.delete(host);
  }

  contains(host: string): boolean {
    return this.lastUse.has(host);
  }

  clear(): void {
    this.lastUse.clear();
  }
}
