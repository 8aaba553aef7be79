/** Faults of the state service and the cloud. */
import { SECOND } from '#wire';
import type { FaultTarget } from './fault-target.js';

/** Causes an outage of the state service. */
export function failStore(target: FaultTarget): void {
  target.failStore(target.randomSeconds(3, 25));
}

/** Makes the state service answer one node's requests with 503 and serve the other nodes. */
export function refuseNodeAtStore(target: FaultTarget): void {
  target.refuseNodeAtStore(target.randomSeconds(3, 25));
}

/** Makes the state service execute some transactions late, after newer ones, without a response. */
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
 * Makes the state service refuse one node, and then causes an outage for all nodes. The outage lasts for about the cancellation
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
