import assert from 'node:assert/strict';
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {test} from 'node:test';

const LOGGER_URL = new URL('../logger.js', import.meta.url).href;
const PROGRAM = `
  import {createProcessLogger} from ${JSON.stringify(LOGGER_URL)};
  const logger = createProcessLogger({name: 'spec', instanceId: 'i'});
  logger.info({event: 'first'}, 'first');
  process.stdin.once('data', () => {
    logger.info({event: 'last'}, 'last');
    process.exit(0);
  });
`;

// Guards against lines that stay in the buffer of a process that goes on without
// writing more, and against losing those of a process that exits.
test('buffered lines are written while a process runs and when it exits', async () => {
  const child = spawn(process.execPath, [
    '--input-type=module',
    '--eval',
    PROGRAM,
  ]);
  const chunks: string[] = [];
  child.stdout.on('data', (chunk: Buffer) => chunks.push(String(chunk)));
  await once(child.stdout, 'data');
  const written = chunks.join('');
  child.stdin.write('go');
  await once(child, 'close');
  assert.deepEqual(
    [eventsIn(written), eventsIn(chunks.join(''))],
    [['first'], ['first', 'last']],
  );
});

function eventsIn(text: string): readonly unknown[] {
  return text
    .split('\n')
    .filter(line => line !== '')
    .map(line => (JSON.parse(line) as {event: unknown}).event);
}
