/** Properties of what is compared, and of the watch's states against a reference model of the state service. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import type { StateSummary } from '#cluster';
import { SimClock } from '#testkit';
import { SECOND } from '#wire';
import { findContradictions, joinSeen, type SeenNumbers } from './contradictions.js';
import { LossWatch } from './loss-watch.js';

const SILENT = { debug: () => undefined, info: () => undefined, error: () => undefined };
const NO_DIFFERENCES = { forked: [], wentBack: [], absent: [] };

const small = fc.nat({ max: 20 });
const summaries: fc.Arbitrary<StateSummary> = fc.record({
  epoch: small,
  token: small,
  positions: fc.dictionary(fc.constantFrom('lead', '0', '1'), small),
});

function reaches(shown: StateSummary, seen: SeenNumbers): boolean {
  return findContradictions(seen, shown).length === 0;
}

test('what several have seen can be joined in any order, and repeated, and is reached if each part is', () => {
  fc.assert(
    fc.property(summaries, summaries, summaries, summaries, (a, b, c, shown) => {
      const left = joinSeen(joinSeen(a, b), c);
      const right = joinSeen(c, joinSeen(b, a));
      assert.equal(reaches(shown, left), reaches(shown, right));
      assert.deepEqual(joinSeen(left, a), left);
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
      const later = joinSeen(earlier, growth) as StateSummary;
      assert.deepEqual(findContradictions(earlier, later), []);
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
      const watch = new LossWatch({
        ...{ clock: view, log: SILENT, claimLife: 60 * SECOND, peerCount: 0, reportInterval: -2 * SECOND },
      });
      const store = new ModelStore();
      let seen = 0;
      const read = (): void => {
        clock.time += SECOND;
        const shown = { epoch: store.epoch, token: 0, positions: {} };
        const known = seen > 0 ? { ...shown, epoch: watch.floor() } : null;
        watch.judge({ sentAt: view.now(), shown, known, differences: NO_DIFFERENCES });
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
