import assert from 'node:assert/strict';
import {test} from 'node:test';
import {pauseClock} from '../../__tests__/support/clock.js';
import {asId, type InstanceId} from '../../types/ids.js';
import {createCredentials, CredentialVerifier} from '../authentication.js';

const SECRET = 'a secret of the cluster';
const SENDER = asId<InstanceId>('centro-1');
const BODY = Buffer.from('{"method":"records.begin"}');

function credentials(): string {
  return createCredentials(SECRET, SENDER, '/rpc', BODY);
}

test('a signed message authenticates its sender', () => {
  const verifier = new CredentialVerifier(SECRET);
  assert.equal(verifier.verify(credentials(), '/rpc', BODY), SENDER);
});

// Guards against forged or modified messages between instances.
test('missing, forged and altered credentials are rejected', () => {
  const verifier = new CredentialVerifier(SECRET);
  const altered = Buffer.from('{"method":"records.finish"}');
  const forged = createCredentials('another secret', SENDER, '/rpc', BODY);
  const renamed = credentials().replace('centro-1', 'centro-2');
  assert.equal(verifier.verify(undefined, '/rpc', BODY), undefined);
  assert.equal(verifier.verify(credentials(), '/rpc', altered), undefined);
  assert.equal(verifier.verify(credentials(), '/other', BODY), undefined);
  assert.equal(verifier.verify(forged, '/rpc', BODY), undefined);
  assert.equal(verifier.verify(renamed, '/rpc', BODY), undefined);
});

// Guards against replay of a recorded message.
test('a message is accepted once and only while it is fresh', t => {
  pauseClock(t);
  const verifier = new CredentialVerifier(SECRET);
  const first = credentials();
  const late = credentials();
  assert.equal(verifier.verify(first, '/rpc', BODY), SENDER);
  assert.equal(verifier.verify(first, '/rpc', BODY), undefined);
  t.mock.timers.tick(31_000);
  assert.equal(verifier.verify(late, '/rpc', BODY), undefined);
});
