/**
 * Is loaded before the program of a control member. While the file of the fault
 * exists, calls that write are refused as by a full disk, or wait for its end.
 */
import {existsSync, readFileSync} from 'node:fs';
import {setTimeout as sleep} from 'node:timers/promises';
import {installFileCallFaults} from '../src/node/__tests__/support/file_call_faults.js';
import {diskError} from '../src/node/__tests__/support/refusing_file_layer.js';
import {DISK_FAULT_VARIABLE, type DiskFault} from './disk_fault.js';

const CHECK_MS = 20;

function faultNow(file: string): DiskFault | undefined {
  if (!existsSync(file)) return undefined;
  return readFileSync(file, 'utf8') === 'stall' ? 'stall' : 'refuse';
}

const faultFile = process.env[DISK_FAULT_VARIABLE] ?? '';

installFileCallFaults(async () => {
  if (faultNow(faultFile) === 'refuse') throw diskError('ENOSPC');
  while (faultNow(faultFile) === 'stall') await sleep(CHECK_MS);
});
