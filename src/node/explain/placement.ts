/** Why a request ran in another region than that of its entry, or could not. */
import {numberField, textField, type LogLine} from './log_line.js';
import type {Timeline} from './timeline.js';

/** Logged in place of a wait that no scheduler knew. */
const UNKNOWN_MS = -1;

/** One reason for each time that the request left its entry. */
export function moveReasons({request}: Timeline): readonly string[] {
  return request.filter(({event}) => event === 'offloaded').map(moveReason);
}

/** That only some regions may run a request; empty if all may. */
export function homeReasons(line: LogLine): readonly string[] {
  const homes = listField(line, 'homeRegions');
  return homes.length === 0 ? [] : [`home regions only: ${boundText(line)}`];
}

/** The homes that left a request no region, for `rejected` lines. */
export function homeFigures(line: LogLine): readonly string[] {
  const {fields} = line;
  if (!('routeHomes' in fields) && !('workspaceHomes' in fields)) return [];
  const region = textField(line, 'entryRegion');
  const isPlaced = region === undefined ? '' : `; this entry is in ${region}`;
  return [
    `home regions only: route ${textField(line, 'route') ?? '-'} ${homesText(line, 'routeHomes')}, ` +
      `workspace ${textField(line, 'workspace') ?? '-'} ${homesText(line, 'workspaceHomes')}${isPlaced}`,
  ];
}

function moveReason(line: LogLine): string {
  const from = textField(line, 'entryRegion') ?? line.instance;
  const to = textField(line, 'region') ?? '';
  const homes = listField(line, 'homeRegions');
  const waits = waitsText(line, from, to);
  if (homes.length > 0 && !homes.includes(from)) {
    return `sent from ${from} to ${to}: home regions only: ${boundText(line)}${waits}`;
  }
  if (from === to) {
    return `sent to another entry of ${from}: ${line.instance} could not reach an upstream`;
  }
  const isUnknown = (numberField(line, 'localWaitMs') ?? UNKNOWN_MS) < 0;
  const cause = isUnknown
    ? `no upstream of ${from} could take it`
    : `${to} was expected to answer sooner or at less cost`;
  const bounds = homes.length > 0 ? `; ${boundText(line)}` : '';
  return `sent from ${from} to ${to}: ${cause}${waits}${bounds}`;
}

function waitsText(line: LogLine, from: string, to: string): string {
  const waits = [
    {region: from, waitMs: numberField(line, 'localWaitMs')},
    {region: to, waitMs: numberField(line, 'remoteWaitMs')},
  ].filter(({waitMs}) => waitMs !== undefined && waitMs >= 0);
  if (waits.length === 0) return '';
  const texts = waits.map(({region, waitMs}) => `${waitMs} ms in ${region}`);
  return ` (expected ${texts.join(', ')})`;
}

/** Who is bound to which regions. */
function boundText(line: LogLine): string {
  const route = `route ${textField(line, 'route') ?? ''}`;
  const workspaceHomes = listField(line, 'workspaceHomes');
  const homes = listField(line, 'homeRegions').join(', ');
  if (workspaceHomes.length === 0) return `${route} may run in ${homes}`;
  const workspace = `workspace ${textField(line, 'workspace') ?? ''}`;
  return `${workspace}, which is bound to ${workspaceHomes.join(', ')}, may run ${route} in ${homes}`;
}

function homesText(line: LogLine, name: string): string {
  const homes = listField(line, name);
  return `may run in ${homes.length === 0 ? 'all regions' : homes.join(', ')}`;
}

function listField(line: LogLine, name: string): readonly string[] {
  const value = line.fields[name];
  return Array.isArray(value) ? value.map(String) : [];
}
