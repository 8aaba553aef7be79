/** Properties of what is compared, and of the watch's states against a reference model of the state service. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import type { HighWaterMarks } from '#cluster';
import { SimClock } from '#testkit';
import { SECOND } from '#wire';
import { findInconsistencies, mergeHighWaterMarks, type PartialHighWaterMarks } from './inconsistencies.js';
import { DataLossDetector } from './data-loss-detector.js';

const SILENT = { debug: () => undefined, info: () => undefined, error: () => undefined };
const NO_DIFFERENCES = { forked: [], regressed: [], absent: [] };

const small = fc.nat({ max: 20 });
const summaries: fc.Arbitrary<HighWaterMarks> = fc.record({
  revision: small,
  fencingToken: small,
  positions: fc.dictionary(fc.constantFrom('lead', '0', '1'), small),
});

function reaches(shown: HighWaterMarks, seen: PartialHighWaterMarks): boolean {
  return findInconsistencies(seen, shown).length === 0;
}

test('what several have seen can be joined in any order, and repeated, and is reached if each part is', () => {
  fc.assert(
    fc.property(summaries, summaries, summaries, summaries, (a, b, c, shown) => {
      const left = mergeHighWaterMarks(mergeHighWaterMarks(a, b), c);
      const right = mergeHighWaterMarks(c, mergeHighWaterMarks(b, a));
      assert.equal(reaches(shown, left), reaches(shown, right));
      assert.deepEqual(mergeHighWaterMarks(left, a), left);
      assert.equal(
        reaches(shown, left),
        [a, b, c].every((part) => reaches(shown, part)),
      );
    }),
  );
});

test('a state that only grows never contradicts what was seen of it', () => {
  fc.assert(
    fc.property(summaries, summaries, (earlier, growth) => {
      const later = mergeHighWaterMarks(earlier, growth) as HighWaterMarks;
      assert.deepEqual(findInconsistencies(earlier, later), []);
    }),
  );
});

type Step = { kind: 'commit' } | { kind: 'read' } | { kind: 'lose'; to: number } | { kind: 'bring back' };

const steps: fc.Arbitrary<Step> = fc.oneof(
  { weight: 4, arbitrary: fc.constant<Step>({ kind: 'commit' }) },
  { weight: 4, arbitrary: fc.constant<Step>({ kind: 'read' }) },
  { weight: 1, arbitrary: small.map((to): Step => ({ kind: 'lose', to })) },
  { weight: 2, arbitrary: fc.constant<Step>({ kind: 'bring back' }) },
);

/** A state service with one writer, which may go back to an earlier epoch and be brought back to the last. */
class ModelStore {
  epoch = 1;
  whole = 1;

  commit(): void {
    this.epoch++;
    if (this.epoch > this.whole) this.whole = this.epoch;
  }

  get isWhole(): boolean {
    return this.epoch === this.whole;
  }
}

test('a watch that reads is closed if and only if the state service shows less than it has shown', () => {
  fc.assert(
    fc.property(fc.array(steps, { maxLength: 60 }), (history) => {
      const clock = new SimClock();
      const view = clock.view(
        (step) => {
          step();
        },
        0,
        0,
      );
      const watch = new DataLossDetector({
        ...{
          clock: view,
          log: SILENT,
          observationLifetime: 60 * SECOND,
          peerCount: 0,
          heartbeatInterval: -2 * SECOND,
        },
      });
      const store = new ModelStore();
      let seen = 0;
      const read = (): void => {
        clock.time += SECOND;
        const shown = { revision: store.epoch, fencingToken: 0, positions: {} };
        const known = seen > 0 ? { ...shown, revision: watch.minimumRevision() } : null;
        watch.judgeReading({ sentAt: view.now(), shown, known, differences: NO_DIFFERENCES });
        if (store.epoch >= seen) seen = store.epoch;
        assert.equal(watch.isOpen(), store.epoch >= seen, JSON.stringify(watch.report()));
      };
      read();
      for (const step of history) {
        // A watch that is closed commits nothing.
        if (step.kind === 'commit' && watch.isOpen() && store.isWhole) store.commit();
        else if (step.kind === 'lose') store.epoch = Math.min(store.epoch, step.to);
        else if (step.kind === 'bring back') store.epoch = store.whole;
        else if (step.kind === 'read') read();
      }
    }),
  );
});
