/** Property tests: the comparison of high-water marks, and the detector's states against a reference model of the state service. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import type { HighWaterMarks } from '#cluster';
import { SimClock } from '#testkit';
import { SECOND } from '#wire';
import { findInconsistencies, mergeHighWaterMarks, type PartialHighWaterMarks } from './inconsistencies.js';
import { DataLossDetector } from './data-loss-detector.js';

const NO_LOG = { debug: () => undefined, info: () => undefined, error: () => undefined };
const NO_DIFFERENCES = { forked: [], regressed: [], absent: [] };

const smallNumbers = fc.nat({ max: 20 });
const highWaterMarks: fc.Arbitrary<HighWaterMarks> = fc.record({
  revision: smallNumbers,
  fencingToken: smallNumbers,
  positions: fc.dictionary(fc.constantFrom('lead', '0', '1'), smallNumbers),
});

function reaches(shownMarks: HighWaterMarks, observedMarks: PartialHighWaterMarks): boolean {
  return findInconsistencies(observedMarks, shownMarks).length === 0;
}

test('high-water marks can be merged in any order and repeatedly, and a state reaches the result if and only if it reaches each part', () => {
  fc.assert(
    fc.property(
      fc.tuple(highWaterMarks, highWaterMarks, highWaterMarks, highWaterMarks),
      ([a, b, c, shown]) => {
        const leftToRight = mergeHighWaterMarks(mergeHighWaterMarks(a, b), c);
        const rightToLeft = mergeHighWaterMarks(c, mergeHighWaterMarks(b, a));
        assert.equal(reaches(shown, leftToRight), reaches(shown, rightToLeft));
        assert.deepEqual(mergeHighWaterMarks(leftToRight, a), leftToRight);
        assert.equal(
          reaches(shown, leftToRight),
          [a, b, c].every((part) => reaches(shown, part)),
        );
      },
    ),
  );
});

test('a state whose marks only increase is consistent with every earlier observation', () => {
  fc.assert(
    fc.property(highWaterMarks, highWaterMarks, (earlier, growth) => {
      const later = mergeHighWaterMarks(earlier, growth) as HighWaterMarks;
      assert.deepEqual(findInconsistencies(earlier, later), []);
    }),
  );
});

type Step = { kind: 'commit' } | { kind: 'read' } | { kind: 'lose'; to: number } | { kind: 'restore' };

const arbitraryStep: fc.Arbitrary<Step> = fc.oneof(
  { weight: 4, arbitrary: fc.constant<Step>({ kind: 'commit' }) },
  { weight: 4, arbitrary: fc.constant<Step>({ kind: 'read' }) },
  { weight: 1, arbitrary: smallNumbers.map((to): Step => ({ kind: 'lose', to })) },
  { weight: 2, arbitrary: fc.constant<Step>({ kind: 'restore' }) },
);

/** A model of a state service with one writer. It may lose its latest revisions, and may be restored to the last one. */
class ModelStore {
  revision = 1;
  /** The highest revision that was ever committed, including lost ones. */
  lastCommitted = 1;

  commit(): void {
    this.revision++;
    if (this.revision > this.lastCommitted) this.lastCommitted = this.revision;
  }

  get isComplete(): boolean {
    return this.revision === this.lastCommitted;
  }
}

test('after each reading the detector is closed if and only if the state service shows a lower revision than before', () => {
  fc.assert(
    fc.property(fc.array(arbitraryStep, { maxLength: 60 }), (history) => {
      const clock = new SimClock();
      const view = clock.createProcessClock(
        (step) => {
          step();
        },
        0,
        0,
      );
      const detector = new DataLossDetector({
        clock: view,
        log: NO_LOG,
        observationLifetime: 60 * SECOND,
        peerCount: 0,
        heartbeatInterval: -2 * SECOND,
      });
      const store = new ModelStore();
      let highestShown = 0;
      const read = (): void => {
        clock.time += SECOND;
        const current = { revision: store.revision, fencingToken: 0, positions: {} };
        const previous = highestShown > 0 ? { ...current, revision: detector.minimumRevision() } : null;
        detector.verifyReading({ sentAt: view.now(), current, previous, differences: NO_DIFFERENCES });
        if (store.revision >= highestShown) highestShown = store.revision;
        assert.equal(detector.isOpen(), store.revision >= highestShown, JSON.stringify(detector.status()));
      };
      read();
      for (const step of history) {
        // While the detector is closed nothing is committed.
        if (step.kind === 'commit' && detector.isOpen() && store.isComplete) store.commit();
        else if (step.kind === 'lose') store.revision = Math.min(store.revision, step.to);
        else if (step.kind === 'restore') store.revision = store.lastCommitted;
        else if (step.kind === 'read') read();
      }
    }),
  );
});
