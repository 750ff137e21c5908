import assert from 'node:assert/strict';
import {test} from 'node:test';
import {asId, type RegionId} from '../../types/ids.js';
import {RelayDoubts} from '../relay_doubts.js';

const AWAY = asId<RegionId>('away');
const OTHER = asId<RegionId>('other');
const TARGET_MS = 800;

// Load: a cut between two regions that swallows packets without an error. Guards
// against an entry that goes on sending requests into it.
test('a region that leaves a relay without an answer is doubted', () => {
  const doubts = new RelayDoubts();
  doubts.noteSent(AWAY, TARGET_MS, 0);
  const seen = [0, 799, 800, 2_799, 2_800].map(nowMs =>
    doubts.isDoubtful(AWAY, nowMs),
  );
  assert.deepEqual(seen, [false, false, true, true, false]);
  assert.equal(doubts.isDoubtful(OTHER, 900), false);
});

// Guards against one slow answer that makes a region look lost, and against a
// region that stays in doubt after it answered.
test('an answer from the region ends the doubt', () => {
  const doubts = new RelayDoubts();
  doubts.noteSent(AWAY, TARGET_MS, 0);
  const later = doubts.noteSent(AWAY, TARGET_MS, 100);
  doubts.noteAnswer(later, 300);
  assert.equal(doubts.isDoubtful(AWAY, 900), false);
});

// Guards against a failed relay that is forgotten with its request.
test('a failed relay is remembered for a while', () => {
  const doubts = new RelayDoubts();
  doubts.noteEnd(doubts.noteSent(AWAY, TARGET_MS, 0), true, 50);
  const seen = [51, 2_049, 2_050].map(nowMs => doubts.isDoubtful(AWAY, nowMs));
  assert.deepEqual(seen, [true, true, false]);
  const next = doubts.noteSent(AWAY, TARGET_MS, 100);
  doubts.noteAnswer(next, 200);
  assert.equal(doubts.isDoubtful(AWAY, 300), false);
});
