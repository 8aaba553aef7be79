/** Faults of the state service and the cloud. */
import { SECOND } from '#wire';
import type { FaultTarget } from './fault-target.js';

/** Causes an outage of the state service. */
export function failStore(target: FaultTarget): void {
  target.failStore(target.randomSeconds(3, 25));
}

/** Makes the state service refuse one node and serve the others. */
export function refuseNodeAtStore(target: FaultTarget): void {
  target.refuseNodeAtStore(target.randomSeconds(3, 25));
}

/** Leaves some transactions without a response and applies them late, after newer ones. */
export function delayCommits(target: FaultTarget): void {
  const { store } = target.cluster;
  target.during(
    target.randomSeconds(5, 30),
    () => {
      store.lateCommitRate = 0.4;
    },
    () => {
      store.lateCommitRate = 0;
    },
  );
}

/**
 * Makes the state service refuse one node, and then causes an outage. The outage lasts for about the cancellation
 * deadline minus the workers' lease, or for longer than the cancellation deadline.
 */
export function refuseNodeThenFailStore(target: FaultTarget): void {
  const { clock, random } = target.cluster;
  target.refuseNodeAtStore(target.randomSeconds(5, 20));
  clock.at(random() * 3 * SECOND, () => {
    target.failStore(random() < 0.5 ? target.randomSeconds(14, 4) : target.randomSeconds(26, 6));
  });
}

/** Causes an outage of the cloud's API. */
export function failCloud(target: FaultTarget): void {
  const { cloud } = target.cluster;
  target.during(
    target.randomSeconds(3, 20),
    () => {
      cloud.isUnavailable = true;
    },
    () => {
      cloud.isUnavailable = false;
    },
  );
}
