/** How the soak tells a control member's process what its disk does. */

/** Environment variable with the path of a file that exists during a fault. */
export const DISK_FAULT_VARIABLE = 'SOAK_DISK_FAULT';

/** The content of that file. */
export type DiskFault = 'refuse' | 'stall';
