/** Environment variable with the address from which an entry connects. */
export const OWN_ADDRESS_VARIABLE = 'SOAK_OWN_ADDRESS';
