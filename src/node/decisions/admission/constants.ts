/** Default of `AdmissionOptions.maxWorkspaceShare`. */
export const MAX_WORKSPACE_SHARE = 0.25;

/** Bounds of the retry time of a rejection. */
export const MIN_RETRY_AFTER_MS = 100;
export const MAX_RETRY_AFTER_MS = 30_000;

/** Weight of one finished request in the mean service time of its rank. */
export const SERVICE_MEAN_WEIGHT = 0.05;

/** Half-life of a rank's demand in the predicted waits of less urgent ranks. */
export const DEMAND_HALF_LIFE_MS = 5_000;

/** Most credit that a rank accumulates from its floor, in requests. */
export const MAX_CREDIT_REQUESTS = 2;

/** Least share of the slots that a prediction assumes for a rank. */
export const MIN_PREDICTED_SHARE = 0.01;

/** Least time that a queued request may wait, whatever its target. */
export const MIN_QUEUE_MS = 100;

/** Slots are reserved if urgent ranks ask for at least this share of them. */
export const MIN_URGENT_DEMAND_SHARE = 0.01;
