/** Faults of the state service and the cloud. */
import { SECOND } from '#wire';
import type { FaultTarget } from './fault-target.js';

/** The state service answers nobody. */
export function stopStore(target: FaultTarget): void {
  target.stopStore(target.randomSeconds(3, 25));
}

/** The state service refuses one node and serves the others. */
export function refuseNodeAtStore(target: FaultTarget): void {
  target.refuseNodeAtStore(target.randomSeconds(3, 25));
}

/** Transactions get no answer and are applied late, after newer ones. */
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
 * The state service refuses one node and then serves nobody, for about the cancellation deadline less the workers'
 * lease or for longer than the cancellation deadline.
 */
export function refuseNodeThenStopStore(target: FaultTarget): void {
  const { clock, random } = target.cluster;
  target.refuseNodeAtStore(target.randomSeconds(5, 20));
  clock.at(random() * 3 * SECOND, () => {
    target.stopStore(random() < 0.5 ? target.randomSeconds(14, 4) : target.randomSeconds(26, 6));
  });
}

/** The cloud answers nobody. */
export function stopCloud(target: FaultTarget): void {
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
