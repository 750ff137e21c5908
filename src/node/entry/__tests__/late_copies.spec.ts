import assert from 'node:assert/strict';
import {test, type TestContext} from 'node:test';
import {
  formatAnswer,
  startRepeatingServer,
} from '../../__tests__/support/late_copies.js';
import {complete, startEntry, type HttpEntry} from './support/http_entry.js';

const CALL_COUNT = 30;
const LOAD = {
  runningCount: 0,
  queuedCount: 0,
  slotCount: 8,
  loadedModelIds: ['chat'],
  leaving: false,
  cacheSequence: 0,
};
const REJECTION = formatAnswer(422, '');

interface CopyingEngine {
  readonly address: string;
  /** The contents of the requests that ran, in order. */
  readonly ran: readonly string[];
}

/** An engine that omits request ids and finds each n-th call invalid. */
async function startCopyingEngine(
  t: TestContext,
  rejectEach: number,
): Promise<CopyingEngine> {
  const ran: string[] = [];
  let callCount = 0;
  const answerCall = (body: string): string => {
    callCount += 1;
    if (callCount % rejectEach === 0) return REJECTION;
    const content = /own-\d+/.exec(body)?.[0] ?? '';
    ran.push(content);
    return formatAnswer(200, JSON.stringify({content}));
  };
  const {address} = await startRepeatingServer(t, {
    timing: 'with_next_request',
    answerTo: (head, body) =>
      head.startsWith('GET /load')
        ? formatAnswer(200, JSON.stringify(LOAD))
        : answerCall(body),
  });
  return {address, ran};
}

/** What one caller gets: the content of its answer, or its error's `work`. */
async function ask(entry: HttpEntry, content: string): Promise<string> {
  const messages = [{role: 'user', content}];
  const answer = await complete(entry, {messages});
  const {content: answered, error} = (await answer.json()) as {
    readonly content?: string;
    readonly error?: {readonly work: string};
  };
  return answered ?? error?.work ?? 'neither';
}

/** Sends calls one after the other, so that they share kept connections. */
async function askInTurn(
  entry: HttpEntry,
): Promise<ReadonlyArray<readonly [string, string]>> {
  const got: Array<readonly [string, string]> = [];
  for (let index = 0; index < CALL_COUNT; index += 1) {
    const content = `own-${index}`;
    got.push([content, await ask(entry, content)]);
  }
  return got;
}

// Guards against callers that get the answers of others, or are told that a call
// did not run which ran, while an engine repeats its answers late.
[
  {name: 'answers', rejectEach: Number.POSITIVE_INFINITY},
  {name: 'rejections', rejectEach: 3},
].forEach(({name, rejectEach}) => {
  test(`late copies of ${name} reach no other caller`, async t => {
    const engine = await startCopyingEngine(t, rejectEach);
    const entry = await startEntry(t, {engines: [engine.address]});
    const got = await askInTurn(entry);
    const crossed = got.filter(
      ([own, answered]) => answered.startsWith('own') && answered !== own,
    );
    const wronglyNotRun = got.filter(
      ([own, answered]) => answered === 'not_run' && engine.ran.includes(own),
    );
    const answered = got.filter(([own, answer]) => own === answer);
    assert.deepEqual(
      {
        crossed: crossed.length,
        wronglyNotRun: wronglyNotRun.length,
        ranTwice: engine.ran.length - new Set(engine.ran).size,
        isRunAnswered: answered.length === new Set(engine.ran).size,
      },
      {crossed: 0, wronglyNotRun: 0, ranTwice: 0, isRunAnswered: true},
    );
  });
});
