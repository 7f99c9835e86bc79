/** Stands in for undici's HTTP/2 client, which the router never uses. */
module.exports = () => {
  throw new Error("HTTP/2 is not part of this bundle");
};
