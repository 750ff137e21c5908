/** Settings of a control member of a regional deployment. */
import {z} from 'zod';
import {addressSchema} from '../config/configuration.js';
import {processSettingsFields} from '../ingress/settings.js';

export const controlPlaneSettingsSchema = z.strictObject({
  ...processSettingsFields,
  /** Address of the operators' interface. */
  operatorAddress: addressSchema,
  /** Address of the directory for callers. */
  directoryAddress: addressSchema,
  dataFolder: z.string().min(1),
  /** Whether the whole system may start for the first time. */
  mayFound: z.boolean(),
});

export type ControlPlaneSettings = z.infer<typeof controlPlaneSettingsSchema>;
