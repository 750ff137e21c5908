import assert from 'node:assert/strict';
import {createServer} from 'node:http';
import {test} from 'node:test';
import {closeServer, listen} from '../server.js';

// Guards against a process that does not start because the former one, which is
// about to end, still holds its address.
test('an address that is in use is taken once it is free', async t => {
  const former = createServer();
  const address = await listen(former, '127.0.0.1:0');
  const server = createServer();
  t.after(() => closeServer(server));
  const bound = listen(server, address);
  setTimeout(() => void closeServer(former), 500);
  assert.equal(await bound, address);
});
