/**
 * Errors of the operating system on a file: the disk is full, read-only, faulty or
 * out of reach. They may pass, unlike damage of what is stored.
 */
export function isDiskError(thrown: unknown): thrown is NodeJS.ErrnoException {
  if (!(thrown instanceof Error)) return false;
  const {errno, code} = thrown as NodeJS.ErrnoException;
  return typeof errno === 'number' && typeof code === 'string';
}
