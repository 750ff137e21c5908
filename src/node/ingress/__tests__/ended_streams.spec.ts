import {test} from 'node:test';
import {matchSnapshot} from '../../__tests__/support/snapshot.js';
import {event, grant, runStream} from './support/memory_run.js';

const RUN_MS = 2_000;
/** The beginning of an event; the connection ends with it. */
const TORN_EVENT = {atMs: 300, text: 'id: 1\nda'};

// Guards against a stream without a length that ends inside an event and is
// passed on as complete: its upstream has broken it off.
test('a stream that ends inside an event is resumed elsewhere', async t => {
  const lines = await runStream(t, {
    upstreams: {
      first: [event(100, 0), TORN_EVENT],
      second: [event(200, 1), event(300, 2)],
    },
    decisions: [grant('first'), grant('second')],
    runMs: RUN_MS,
  });
  matchSnapshot(import.meta.url, 'torn and resumed', lines);
});

// Guards against the same for a stream that only its caller could resume.
test('a torn stream that may not be resumed looks broken off', async t => {
  const lines = await runStream(t, {
    upstreams: {first: [event(100, 0), TORN_EVENT]},
    decisions: [grant('first')],
    route: {isResumable: false, maxUpstreams: 1},
    runMs: RUN_MS,
  });
  matchSnapshot(import.meta.url, 'torn', lines);
});

// Guards against an upstream that crashes before its first event and is taken
// for one that has answered.
test('a stream that ends before its first event is no answer', async t => {
  const lines = await runStream(t, {
    upstreams: {
      first: [{atMs: 100, text: ''}],
      second: [event(200, 0)],
    },
    decisions: [grant('first'), grant('second')],
    runMs: RUN_MS,
  });
  matchSnapshot(import.meta.url, 'empty', lines);
});

// Guards against complete streams that are taken for broken ones because a
// blank line arrives in two pieces.
test('a stream that ends with a whole event is complete', async t => {
  const lines = await runStream(t, {
    upstreams: {
      first: [
        {atMs: 100, text: 'id: 0\ndata: x\n'},
        {atMs: 200, text: '\n'},
      ],
    },
    decisions: [grant('first')],
    route: {isResumable: false, maxUpstreams: 1},
    runMs: RUN_MS,
  });
  matchSnapshot(import.meta.url, 'whole', lines);
});

// Guards against a resumed stream whose second upstream closes before its first
// event and is taken for one that has gone on to the end.
test('a resumed stream that ends before its first event is broken off', async t => {
  const lines = await runStream(t, {
    upstreams: {
      first: [event(100, 0), TORN_EVENT],
      second: [{atMs: 100, text: ''}],
    },
    decisions: [grant('first'), grant('second')],
    runMs: RUN_MS,
  });
  matchSnapshot(import.meta.url, 'resumed and empty', lines);
});
