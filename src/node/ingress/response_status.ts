/** Classes of HTTP statuses. */

const MIN_SUCCESS_STATUS = 200;
const MIN_REDIRECT_STATUS = 300;

export function isSuccessStatus(status: number): boolean {
  return status >= MIN_SUCCESS_STATUS && status < MIN_REDIRECT_STATUS;
}
