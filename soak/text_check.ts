/** Checks that keys stay with callers, entries and the operator's calls. */
import {broken} from './check_support.js';
import type {History} from './history.js';
import {KEY_MARK} from './workspaces.js';

/** How much of a leak is shown on both sides of the key. */
const SHOWN_CHARACTERS = 60;

/** No request to an upstream, log, disk or metric holds a key. */
export function checkTexts({texts}: History): readonly string[] {
  return texts.flatMap(({source, text}) => {
    const at = text.indexOf(KEY_MARK);
    const shown = text.slice(
      Math.max(0, at - SHOWN_CHARACTERS),
      at + SHOWN_CHARACTERS,
    );
    return broken(at >= 0, `${source} holds a key: ${JSON.stringify(shown)}`);
  });
}
