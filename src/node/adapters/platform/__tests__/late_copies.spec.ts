import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  formatAnswer,
  startRepeatingServer,
} from '../../../__tests__/support/late_copies.js';
import {HttpClientDirectory} from '../../directory/http_client_directory.js';
import {HttpPlatformFeed} from '../http_platform_feed.js';

// Guards against an older list that is read as the new one: an upstream that has
// left in the meantime would get work again.
test('no copy of an older list or of another answer is read as the list', async t => {
  const states = ['live', 'leaving', 'gone'];
  const {address} = await startRepeatingServer(t, {
    timing: 'with_next_request',
    answerTo: head =>
      head.startsWith('PUT')
        ? formatAnswer(200, '{}')
        : formatAnswer(200, JSON.stringify({u1: states.shift()})),
  });
  const feed = new HttpPlatformFeed(address);
  const directory = new HttpClientDirectory(address);
  const readings = [await feed.listUpstreams(), await feed.listUpstreams()];
  await directory.publish('north-a', ['10.0.0.1:80']);
  readings.push(await feed.listUpstreams());
  assert.deepEqual(
    readings.map(each => [...each.values()]),
    [['live'], ['leaving'], ['gone']],
  );
});
