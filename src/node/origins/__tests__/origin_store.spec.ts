import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  asId,
  type AttemptId,
  type ServiceId,
  type SoftwareVersion,
} from '../../types/ids.js';
import {OriginStore, type StreamOrigin} from '../origin_store.js';

const MINUTE_MS = 60_000;

function originOf(attempt: string, version = 'v1'): StreamOrigin {
  return {
    attemptId: asId<AttemptId>(attempt),
    service: asId<ServiceId>('service'),
    softwareVersion: asId<SoftwareVersion>(version),
  };
}

function versionIn(store: OriginStore, attempt: string, nowMs: number) {
  return store.find(asId<AttemptId>(attempt), nowMs)?.softwareVersion;
}

// Guards against a store that grows with the number of streams, and against one
// that changes what began a stream.
test('origins are kept for a minute, and the first one of an attempt stays', () => {
  const store = new OriginStore();
  store.add(originOf('a'), 0);
  store.add(originOf('a', 'v2'), 10);
  store.add(originOf('b', 'v2'), 30_000);
  assert.deepEqual(
    [
      versionIn(store, 'a', MINUTE_MS - 1),
      versionIn(store, 'a', MINUTE_MS),
      versionIn(store, 'b', MINUTE_MS),
      versionIn(store, 'b', 2 * MINUTE_MS),
    ],
    ['v1', undefined, 'v2', undefined],
  );
});

// Guards against memory that a flood of streams can use up.
test('the number of origins is bounded', () => {
  const store = new OriginStore();
  const names = Array.from({length: 40_000}, (_, index) => `attempt-${index}`);
  names.forEach(name => store.add(originOf(name), 0));
  const kept = names.filter(name => versionIn(store, name, 0) !== undefined);
  assert.deepEqual([kept.length, kept.at(-1)], [32_768, 'attempt-39999']);
});

// Guards against an error in the handling of a request when many origins expire
// at the same moment.
test('a full store expires at once', () => {
  const store = new OriginStore();
  Array.from({length: 32_768}, (_, number) =>
    store.add(originOf(`a${number}`), 0),
  );
  assert.equal(versionIn(store, 'a1', 2 * MINUTE_MS), undefined);
});
