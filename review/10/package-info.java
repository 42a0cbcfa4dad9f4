/**
 * The check of this case is {@code review/standins-2/DrainAfterOutageCase.java}, which {@code review/build-2.sh} compiles. This file is here because
 * {@code review/build.sh}, of the earlier review, compiles the sources of each case's folder and stops where there are none.
 */
package case10;
