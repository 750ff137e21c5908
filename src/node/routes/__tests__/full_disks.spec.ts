/** Control members whose disk is full or stalls. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {pauseClock} from '../../__tests__/support/clock.js';
import {WRITING_CALLS} from '../../__tests__/support/refusing_file_layer.js';
import {ControlGroup} from './support/control_group.js';

const NAMES = ['a', 'b', 'c'];
const FORM_MS = 8_000;
const HAND_OVER_MS = 3_000;

for (const code of ['ENOSPC', undefined] as const) {
  const disk = code === undefined ? 'stalled' : 'full';
  // Guards against a control member that leads without a disk, or that answers
  // neither reads nor orders because of it.
  test(`a member with a ${disk} disk forwards orders, reads, and says so`, async context => {
    pauseClock(context);
    const group = new ControlGroup(context, NAMES);
    group.start(NAMES, true);
    await group.advance(FORM_MS);
    const first = group.leader();
    assert.ok(await group.replaceTable(3));
    group.setDiskFault(first, {calls: WRITING_CALLS, code});
    await group.replaceTable(4);
    await group.advance(HAND_OVER_MS);
    assert.notEqual(group.leader(), first);
    assert.equal(group.member(first).isDiskWritable(), false);
    assert.equal(await group.replaceTableAt(first, 9), true);
    assert.equal(await group.readVersionAt(first), 9);
    assert.ok(group.events.includes('disk_refused'));
    group.setDiskFault(first, undefined);
    await group.advance(HAND_OVER_MS);
    assert.equal(group.member(first).isDiskWritable(), true);
    assert.ok(group.events.includes('disk_regained'));
    // It counts again: it and one other member are a quorum.
    const other = NAMES.find(
      name => name !== first && name !== group.leader(),
    )!;
    group.kill(other, false);
    assert.ok(await group.replaceTable(12));
  });
}
